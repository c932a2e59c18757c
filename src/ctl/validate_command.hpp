#pragma once

#include "ctl/command_result.hpp"

#include <string_view>

namespace samphire
{

/// Validates a policy document; the output is its canonical form.
command_result validate_document(std::string_view text);

} // namespace samphire

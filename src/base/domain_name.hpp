#pragma once

#include "base/text_id.hpp"

namespace samphire
{

/// Name of a failure domain.
using domain_name = text_id<struct domain_name_tag>;

} // namespace samphire

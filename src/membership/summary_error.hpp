#pragma once

#include <cstdint>

namespace samphire
{

/// Reason why a summary or the list of domains was refused.
enum class summary_error : std::uint8_t
{
    not_json,
    /// A field is missing, or has another type or range.
    invalid_field,
    /// The summary names another domain than its object name does.
    wrong_domain,
};

char const* summary_error_text(summary_error error);

} // namespace samphire

#pragma once

#include <cstdint>
#include <string_view>

namespace samphire
{

/// Why the policy object could not be read.
enum class policy_store_error : std::uint8_t
{
    platform_unavailable,
    /// The object is not a valid document, so no revision can be compared.
    document_unreadable,
};

constexpr std::string_view store_error_text(policy_store_error error)
{
    return error == policy_store_error::platform_unavailable
               ? "the platform does not answer"
               : "the policy object of the platform is not a valid document";
}

} // namespace samphire

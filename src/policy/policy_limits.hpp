#pragma once

#include <cstddef>
#include <cstdint>

namespace samphire::policy_limits
{

/// Maximum size of a policy document in bytes: the platform stores values of up
/// to 1 MiB.
constexpr std::size_t max_document_bytes = 1'048'576;
constexpr std::uint64_t format_version = 1;
/// Maximum revision, 2^53 - 1: JSON readers that use floating point round
/// larger numbers.
constexpr std::uint64_t max_revision = 9'007'199'254'740'991;
/// Maximum number of extra attempts for one request of a caller. The limit
/// keeps retries from multiplying the load: 32 is less than two extra attempts
/// for each call of the deepest call chains, which have 19 calls.
constexpr std::uint64_t max_extra_attempts = 32;
constexpr std::uint64_t max_service_percent = 100;
/// Maximum timeout that a caller may ask for, 1 hour.
constexpr std::uint64_t max_timeout_ms = 3'600'000;
constexpr std::size_t max_services = 4'096;
constexpr std::size_t max_routes_per_service = 256;
constexpr std::size_t max_calls_per_route = 64;
/// At most 8,192 daemons can leave, because a daemon keeps up to 8,192 members.
constexpr std::size_t max_leaving_daemons = 8'192;

} // namespace samphire::policy_limits

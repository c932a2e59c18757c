#include "execution/key_identity.hpp"

#include "base/hashing.hpp"

#include <string>

namespace samphire
{

request_id key_identity(
    service_name const& service,
    route_name const& route,
    idempotency_key const& key)
{
    constexpr std::uint64_t high_seed = 1;
    constexpr std::uint64_t low_seed = 2;
    // Service names, route names and keys contain no newline, so different
    // triples give different texts.
    std::string const text =
        service.value() + "\n" + route.value() + "\n" + key.value();
    return {stable_hash(text, high_seed), stable_hash(text, low_seed)};
}

} // namespace samphire

#include "quarantine/request_fingerprint.hpp"

#include "base/hashing.hpp"

namespace samphire
{

fingerprint request_fingerprint(
    service_name const& service, route_name const& route, payload const& body)
{
    std::uint64_t hash = stable_hash(service.value());
    hash = stable_hash(route.value(), hash);
    return fingerprint(stable_hash(body.bytes(), hash));
}

} // namespace samphire

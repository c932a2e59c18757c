#include "forwarding/request_fingerprint.hpp"

#include "base/hashing.hpp"

namespace samphire
{

std::uint64_t request_fingerprint(
    service_name const& caller,
    std::string_view host,
    std::string_view method,
    std::string_view target,
    payload const& body)
{
    std::uint64_t hash = stable_hash(caller.value());
    hash = stable_hash(host, hash);
    hash = stable_hash(method, hash);
    hash = stable_hash(target, hash);
    return stable_hash(body.bytes(), hash);
}

} // namespace samphire

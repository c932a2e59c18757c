#include "execution/child_nonce.hpp"

#include "base/hashing.hpp"

#include <fmt/format.h>

namespace samphire
{

request_id child_nonce(
    request_id const& parent, std::string_view identity, std::uint32_t sequence)
{
    std::string const text = fmt::format(
        "{:016x}{:016x}/{}/{}", parent.high_, parent.low_, sequence, identity);
    return {stable_hash(text, parent.high_), stable_hash(text, parent.low_)};
}

} // namespace samphire

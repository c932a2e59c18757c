#include "wire/peer_key.hpp"

#include <sodium.h>

namespace samphire
{

peer_key::peer_key(std::string_view secret)
{
    crypto_generichash(
        bytes_.data(),
        bytes_.size(),
        reinterpret_cast<unsigned char const*>(secret.data()),
        secret.size(),
        nullptr,
        0);
}

} // namespace samphire

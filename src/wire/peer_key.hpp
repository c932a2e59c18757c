#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace samphire
{

/// Key that authenticates the messages between the daemons of one system.
class peer_key
{
public:
    static constexpr std::size_t size = 32;

    /// Derives the key from the secret in the settings.
    explicit peer_key(std::string_view secret);

    std::array<std::uint8_t, size> const& bytes() const
    {
        return bytes_;
    }

private:
    std::array<std::uint8_t, size> bytes_{};
};

} // namespace samphire

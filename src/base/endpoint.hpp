#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace samphire
{

/// IPv4 address in host byte order, and a port.
class endpoint
{
public:
    constexpr endpoint() = default;
    constexpr endpoint(std::uint32_t address, std::uint16_t port)
        : address_(address), port_(port)
    {
    }

    /// Parses "a.b.c.d:port"; nothing when the text has another form, the
    /// port is zero, or a number is out of range.
    static std::optional<endpoint> parse(std::string_view text);

    constexpr std::uint32_t address() const
    {
        return address_;
    }

    constexpr std::uint16_t port() const
    {
        return port_;
    }

    constexpr bool empty() const
    {
        return port_ == 0;
    }

    /// Returns "a.b.c.d:port".
    std::string text() const;

    friend bool operator==(endpoint const&, endpoint const&) = default;
    friend auto operator<=>(endpoint const&, endpoint const&) = default;

    template <class Hash>
    friend Hash AbslHashValue(Hash state, endpoint const& e)
    {
        return Hash::combine(std::move(state), e.address_, e.port_);
    }

private:
    std::uint32_t address_{};
    std::uint16_t port_{};
};

} // namespace samphire

#pragma once

#include "wire/byte_source.hpp"

#include <cereal/archives/portable_binary.hpp>

#include <cstdint>
#include <istream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>

namespace samphire
{

/// Reads values that wire_writer wrote; throws when the bytes do not fit.
/// Only message_codec uses it, which turns every exception into wire_error.
class wire_reader
{
public:
    explicit wire_reader(std::string_view bytes)
        : source_(bytes), stream_(&source_), archive_(stream_)
    {
    }

    template <class T>
    requires std::is_arithmetic_v<T> T number()
    {
        T value{};
        archive_(value);
        return value;
    }

    template <class T>
    requires std::is_enum_v<T> T enumerator(T last)
    {
        auto const value = number<std::underlying_type_t<T>>();
        if (value > static_cast<std::underlying_type_t<T>>(last))
            throw std::out_of_range("enumerator");
        return static_cast<T>(value);
    }

    /// Number of elements, each at least one byte long. The check against the
    /// bytes left keeps a forged count from reserving memory.
    std::size_t count()
    {
        auto const value = number<std::uint32_t>();
        if (value > source_.left())
            throw std::out_of_range("count");
        return value;
    }

    std::string text()
    {
        std::string value(count(), '\0');
        archive_(cereal::binary_data(value.data(), value.size()));
        return value;
    }

    /// Throws unless everything was read.
    void expect_end() const
    {
        if (source_.left() != 0)
            throw std::out_of_range("trailing bytes");
    }

private:
    byte_source source_;
    std::istream stream_;
    cereal::PortableBinaryInputArchive archive_;
};

} // namespace samphire

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

/// Reads values that wire_writer wrote; throws when the bytes are not an
/// encoding of the value. Only message_codec uses this class, and message_codec
/// converts every exception to wire_error::malformed.
class wire_reader
{
public:
    explicit wire_reader(std::string_view bytes)
        : source_(bytes), stream_(&source_), archive_(stream_)
    {
    }

    template <class T>
    requires std::is_arithmetic_v<T> T read_number()
    {
        T value{};
        archive_(value);
        return value;
    }

    template <class T>
    requires std::is_enum_v<T> T read_enumerator(T last_enumerator)
    {
        auto const value = read_number<std::underlying_type_t<T>>();
        if (value > static_cast<std::underlying_type_t<T>>(last_enumerator))
            throw std::out_of_range("enumerator");
        return static_cast<T>(value);
    }

    /// Reads an element count. Each element takes at least one byte, so the
    /// count is checked against the number of unread bytes. The check keeps a
    /// forged count from reserving memory.
    std::size_t read_count()
    {
        auto const value = read_number<std::uint32_t>();
        if (value > source_.remaining_bytes())
            throw std::out_of_range("count");
        return value;
    }

    std::string read_text()
    {
        std::string value(read_count(), '\0');
        archive_(cereal::binary_data(value.data(), value.size()));
        return value;
    }

    /// Throws std::out_of_range unless all bytes have been read.
    void expect_end() const
    {
        if (source_.remaining_bytes() != 0)
            throw std::out_of_range("trailing bytes");
    }

private:
    byte_source source_;
    std::istream stream_;
    cereal::PortableBinaryInputArchive archive_;
};

} // namespace samphire

#pragma once

#include <cereal/archives/portable_binary.hpp>

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>

namespace samphire
{

/// Writes values in cereal's portable binary form.
class wire_writer
{
public:
    wire_writer() : archive_(stream_)
    {
    }

    template <class T>
    requires std::is_arithmetic_v<T>
    void write_number(T value)
    {
        archive_(value);
    }

    template <class T>
    requires std::is_enum_v<T>
    void write_enumerator(T value)
    {
        write_number(static_cast<std::underlying_type_t<T>>(value));
    }

    void write_count(std::size_t value)
    {
        write_number(static_cast<std::uint32_t>(value));
    }

    void write_text(std::string_view value)
    {
        write_count(value.size());
        archive_(cereal::binary_data(value.data(), value.size()));
    }

    std::string take_bytes()
    {
        return std::move(stream_).str();
    }

private:
    std::ostringstream stream_;
    cereal::PortableBinaryOutputArchive archive_;
};

} // namespace samphire

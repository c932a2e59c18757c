#pragma once

#include <streambuf>
#include <string_view>

namespace samphire
{

/// Reads a stream from bytes in memory without a copy.
class byte_source : public std::streambuf
{
public:
    explicit byte_source(std::string_view bytes)
    {
        char* const begin = const_cast<char*>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }

    std::size_t left() const
    {
        return static_cast<std::size_t>(egptr() - gptr());
    }
};

} // namespace samphire

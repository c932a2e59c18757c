#pragma once

#include <streambuf>
#include <string_view>

namespace samphire
{

/// Stream buffer that reads bytes in memory without copying them.
class byte_source : public std::streambuf
{
public:
    explicit byte_source(std::string_view bytes)
    {
        char* const begin = const_cast<char*>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }

    /// Returns the number of bytes that have not been read.
    std::size_t remaining_bytes() const
    {
        return static_cast<std::size_t>(egptr() - gptr());
    }
};

} // namespace samphire

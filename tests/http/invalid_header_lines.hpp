#pragma once

#include <string>
#include <vector>

namespace samphire
{

/// Lines of a message head that are no header field.
inline std::vector<std::string> invalid_header_lines()
{
    using namespace std::string_literals;
    return {
        "Content-Length : 4"s,
        "Content-Length\t: 4"s,
        " Content-Length: 4"s,
        "Content Length: 4"s,
        "Transfer-Encoding : chunked"s,
        "X A: v"s,
        "X\x01: v"s,
        "X\x7f: v"s,
        "X\0Y: v"s,
        "X\rY: v"s,
        "X\xe4: v"s,
        "X(Y): v"s,
        ": v"s,
        "no colon"s,
        "X: v\x01w"s,
        "X: v\0w"s,
        "X: v\rw"s,
        "X: v\r\n Content-Length: 4"s,
        "X: v\r\n\tw"s};
}

} // namespace samphire

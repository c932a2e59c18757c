#include "ctl/file_reader.hpp"

#include <fstream>

namespace samphire
{

std::optional<std::string>
read_file(std::string const& path, std::size_t max_bytes)
{
    std::ifstream file(path, std::ios::binary);
    std::string text(max_bytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    // A directory can be opened, but not read.
    if (!file.eof() && !file.good())
        return std::nullopt;
    text.resize(static_cast<std::size_t>(file.gcount()));
    return text;
}

} // namespace samphire

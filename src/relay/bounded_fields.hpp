#pragma once

#include <cereal/cereal.hpp>

#include <algorithm>
#include <cstddef>
#include <stdexcept>
#include <string>
#include <vector>

// Functions that serialize texts and lists in the format of cereal's own
// functions. Cereal reserves the announced size at once, so a few malformed
// bytes would take all memory; these read piece by piece and stop at the end of
// the message. cereal/types/string.hpp and vector.hpp must not be included
// beside this file.

namespace cereal
{

template <class Archive>
void CEREAL_SAVE_FUNCTION_NAME(Archive& archive, std::string const& text)
{
    archive(make_size_tag(static_cast<size_type>(text.size())));
    archive(binary_data(text.data(), text.size()));
}

template <class Archive>
void CEREAL_LOAD_FUNCTION_NAME(Archive& archive, std::string& text)
{
    constexpr std::size_t piece_bytes = 64u << 10;
    size_type size = 0;
    archive(make_size_tag(size));
    text.clear();
    while (text.size() < size)
    {
        std::size_t const read = text.size();
        std::size_t const piece = static_cast<std::size_t>(
            std::min<size_type>(size - read, piece_bytes));
        text.resize(read + piece);
        archive(binary_data(text.data() + read, piece));
    }
}

template <class Archive, class Element>
void CEREAL_SAVE_FUNCTION_NAME(
    Archive& archive, std::vector<Element> const& list)
{
    archive(make_size_tag(static_cast<size_type>(list.size())));
    for (Element const& element : list)
        archive(element);
}

template <class Archive, class Element>
void CEREAL_LOAD_FUNCTION_NAME(Archive& archive, std::vector<Element>& list)
{
    // Longer than any list that a daemon sends: urgency classes, and services
    // that one request calls.
    constexpr size_type max_elements = 4096;
    size_type size = 0;
    archive(make_size_tag(size));
    if (size > max_elements)
        throw std::length_error("list");
    list.clear();
    for (size_type i = 0; i < size; ++i)
    {
        Element element{};
        archive(element);
        list.push_back(std::move(element));
    }
}

} // namespace cereal

#include "document/field_reader.hpp"

#include <fmt/format.h>

#include <limits>

namespace samphire
{

namespace
{

using nlohmann::json;

[[noreturn]] void fail(char const* name, std::string const& rule)
{
    throw document_error(fmt::format("{}: {}", name, rule));
}

std::int64_t
checked_integer(json const& value, char const* name, number_range range)
{
    // nlohmann::json keeps whole numbers above the signed range as unsigned,
    // and get<std::int64_t>() would wrap them around.
    bool const fits =
        value.is_number_integer() &&
        (!value.is_number_unsigned() ||
         value.get<std::uint64_t>() <=
             std::uint64_t{std::numeric_limits<std::int64_t>::max()});
    std::int64_t const number = fits ? value.get<std::int64_t>() : 0;
    if (!fits || number < range.min_ || number > range.max_)
        fail(
            name,
            fmt::format(
                "must be a whole number from {} to {}",
                range.min_,
                range.max_));
    return number;
}

std::string checked_text(
    json const& value,
    char const* name,
    std::size_t min_bytes,
    std::size_t max_bytes)
{
    if (!value.is_string())
        fail(name, "must be a text");
    std::string const& text = value.get_ref<std::string const&>();
    if (text.size() < min_bytes || text.size() > max_bytes)
        fail(
            name,
            fmt::format("must have {} to {} bytes", min_bytes, max_bytes));
    return text;
}

} // namespace

field_reader::field_reader(json const& object) : object_(object)
{
    if (!object.is_object())
        throw document_error("document: must be a JSON object");
}

json const* field_reader::find(char const* name) const
{
    auto const found = object_.find(name);
    return found == object_.end() || found->is_null() ? nullptr : &*found;
}

json const& field_reader::at(char const* name) const
{
    json const* const value = find(name);
    if (!value)
        fail(name, "is missing");
    return *value;
}

std::int64_t field_reader::integer(char const* name, number_range range) const
{
    return checked_integer(at(name), name, range);
}

std::int64_t field_reader::integer(
    char const* name, number_range range, std::int64_t default_value) const
{
    json const* const value = find(name);
    return value ? checked_integer(*value, name, range) : default_value;
}

absl::Duration field_reader::duration(
    char const* name,
    absl::Duration max_value,
    absl::Duration default_value) const
{
    json const* const value = find(name);
    if (!value)
        return default_value;
    double const max_ms = absl::ToDoubleMilliseconds(max_value);
    double const milliseconds = value->is_number() ? value->get<double>() : -1;
    if (!(milliseconds >= 0) || milliseconds > max_ms)
        fail(name, fmt::format("must be a number from 0 to {}", max_ms));
    return absl::Milliseconds(milliseconds);
}

std::string field_reader::text(char const* name, std::size_t max_bytes) const
{
    return checked_text(at(name), name, 1, max_bytes);
}

std::string field_reader::text(
    char const* name,
    std::size_t max_bytes,
    std::string const& default_value) const
{
    json const* const value = find(name);
    return value ? checked_text(*value, name, 1, max_bytes) : default_value;
}

std::string
field_reader::possibly_empty_text(char const* name, std::size_t max_bytes) const
{
    return checked_text(at(name), name, 0, max_bytes);
}

json const& field_reader::object(char const* name) const
{
    json const& value = at(name);
    if (!value.is_object())
        fail(name, "must be a JSON object");
    return value;
}

} // namespace samphire

#include "execution/binding_shard.hpp"

#include "base/text.hpp"
#include "document/json_document.hpp"
#include "execution/ticket_text.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace samphire
{

namespace
{

using json = nlohmann::json;

// Number of hexadecimal digits of one 64-bit half of a key.
constexpr std::size_t digits_per_half = 16;
// Estimated size of one binding in the JSON text without its ticket: key,
// quotes, brackets, commas and two numbers.
constexpr std::size_t entry_overhead_bytes = 2 * digits_per_half + 30;
// Estimated size of the JSON text without its bindings.
constexpr std::size_t document_overhead_bytes = 64;

std::string format_key(request_id const& key)
{
    return fmt::format("{:016x}{:016x}", key.high_, key.low_);
}

std::optional<request_id> parse_key(std::string_view text)
{
    if (text.size() != 2 * digits_per_half)
        return std::nullopt;
    auto const high =
        parse_hex_number<std::uint64_t>(text.substr(0, digits_per_half));
    auto const low =
        parse_hex_number<std::uint64_t>(text.substr(digits_per_half));
    if (!high || !low)
        return std::nullopt;
    return request_id{*high, *low};
}

std::optional<key_binding> parse_binding(json const& value)
{
    bool const valid = value.is_array() && value.size() == 3 &&
                       value[0].is_string() && value[1].is_number_unsigned() &&
                       value[2].is_number_unsigned();
    if (!valid)
        return std::nullopt;
    auto const ticket = parse_ticket(value[0].get_ref<std::string const&>());
    if (!ticket)
        return std::nullopt;
    return key_binding{
        *ticket, value[1].get<std::uint64_t>(), value[2].get<std::uint64_t>()};
}

} // namespace

std::optional<binding_shard> binding_shard::parse(payload const& text)
{
    binding_shard result;
    if (text.bytes().empty())
        return result;
    json const document = try_parse_document(text.bytes());
    bool const valid = document.is_object() && document.contains("writes") &&
                       document["writes"].is_number_unsigned() &&
                       document.contains("bindings") &&
                       document["bindings"].is_object();
    if (!valid)
        return std::nullopt;
    result.write_count_ = document["writes"].get<std::uint64_t>();
    for (auto const& [name, value] : document["bindings"].items())
    {
        auto const key = parse_key(name);
        auto const binding = parse_binding(value);
        if (!key || !binding)
            return std::nullopt;
        result.bindings_.emplace(*key, *binding);
    }
    return result;
}

payload binding_shard::json_text() const
{
    json bindings = json::object();
    for (auto const& [key, binding] : bindings_)
        bindings[format_key(key)] = json::array(
            {format_ticket(binding.ticket_),
             binding.generation_,
             binding.write_number_});
    return payload(
        json{{"writes", write_count_}, {"bindings", bindings}}.dump());
}

key_binding const* binding_shard::find(request_id const& key) const
{
    auto const found = bindings_.find(key);
    return found == bindings_.end() ? nullptr : &found->second;
}

void binding_shard::start_write()
{
    ++write_count_;
}

void binding_shard::bind(request_id const& key, execution_ticket const& ticket)
{
    key_binding const* const previous = find(key);
    std::uint64_t const generation = previous ? previous->generation_ + 1 : 1;
    bindings_.erase(key);
    bindings_.emplace(key, key_binding{ticket, generation, write_count_});
}

bool binding_shard::shrink(std::size_t max_bytes, std::uint64_t retained_writes)
{
    std::size_t size = document_overhead_bytes;
    std::vector<std::pair<std::uint64_t, request_id const*>> oldest;
    for (auto const& [key, binding] : bindings_)
    {
        size += format_ticket(binding.ticket_).size() + entry_overhead_bytes;
        oldest.emplace_back(binding.write_number_, &key);
    }
    if (size <= max_bytes)
        return true;
    std::sort(
        oldest.begin(),
        oldest.end(),
        [](auto const& left, auto const& right)
        {
            return std::pair(left.first, *left.second) <
                   std::pair(right.first, *right.second);
        });
    for (auto const& [write_number, key] : oldest)
    {
        if (size <= max_bytes || write_number + retained_writes > write_count_)
            break;
        size -= format_ticket(bindings_.at(*key).ticket_).size() +
                entry_overhead_bytes;
        bindings_.erase(request_id(*key));
    }
    return size <= max_bytes;
}

} // namespace samphire

#include "membership/summary_codec.hpp"

#include "document/json_document.hpp"

#include <nlohmann/json.hpp>

#include <limits>

namespace samphire
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t member_field_count = 9;

json to_json(member_record const& member)
{
    return json::array(
        {member.daemon_.value(),
         member.endpoint_.text(),
         member.incarnation_.value(),
         member.sequence_,
         static_cast<unsigned>(member.status_),
         member.service_.value(),
         member.slots_,
         member.epoch_.value(),
         member.successor_.empty() ? "" : member.successor_.text()});
}

bool is_member(json const& value)
{
    if (!value.is_array() || value.size() != member_field_count)
        return false;
    for (std::size_t const text_index : {0u, 1u, 5u, 8u})
    {
        if (!value[text_index].is_string())
            return false;
    }
    for (std::size_t const number_index : {2u, 3u, 4u, 6u, 7u})
    {
        if (!value[number_index].is_number_unsigned())
            return false;
    }
    return value[4] <= static_cast<unsigned>(member_status::gone) &&
           value[6] <= std::numeric_limits<std::uint32_t>::max();
}

} // namespace

std::string format_summary(
    domain_name const& domain, std::vector<member_record> const& members)
{
    json list = json::array();
    for (member_record const& member : members)
        list.push_back(to_json(member));
    return json{{"domain", domain.value()}, {"members", std::move(list)}}
        .dump();
}

summary_result parse_summary(domain_name const& domain, std::string_view text)
{
    json const root = try_parse_document(text);
    if (root.is_discarded())
        return summary_error::not_json;
    bool const well_formed = root.is_object() && root.contains("domain") &&
                             root.contains("members") &&
                             root["members"].is_array();
    if (!well_formed)
        return summary_error::invalid_field;
    if (root["domain"] != domain.value())
        return summary_error::wrong_domain;
    std::vector<member_record> members;
    for (json const& value : root["members"])
    {
        if (!is_member(value))
            return summary_error::invalid_field;
        auto const address = endpoint::parse(value[1].get<std::string>());
        auto const successor_text = value[8].get<std::string>();
        auto const successor = endpoint::parse(successor_text);
        if (!address || (!successor_text.empty() && !successor))
            return summary_error::invalid_field;
        members.push_back(
            {.daemon_ = daemon_id(value[0].get<std::string>()),
             .domain_ = domain,
             .endpoint_ = *address,
             .incarnation_ = incarnation(value[2].get<std::uint64_t>()),
             .sequence_ = value[3].get<std::uint64_t>(),
             .status_ = static_cast<member_status>(value[4].get<unsigned>()),
             .service_ = service_name(value[5].get<std::string>()),
             .slots_ = value[6].get<std::uint32_t>(),
             .epoch_ = ticket_epoch(value[7].get<std::uint64_t>()),
             .successor_ = successor.value_or(endpoint())});
    }
    return members;
}

std::string format_domains(std::set<domain_name> const& domains)
{
    json list = json::array();
    for (domain_name const& domain : domains)
        list.push_back(domain.value());
    return list.dump();
}

domain_list_result parse_domains(std::string_view text)
{
    json const root = try_parse_document(text);
    if (root.is_discarded())
        return summary_error::not_json;
    if (!root.is_array())
        return summary_error::invalid_field;
    std::set<domain_name> domains;
    for (json const& value : root)
    {
        if (!value.is_string())
            return summary_error::invalid_field;
        domains.insert(domain_name(value.get<std::string>()));
    }
    return domains;
}

} // namespace samphire

#include "daemon/status_page.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace samphire
{

namespace
{

std::string status_text(member_status status)
{
    constexpr std::array<char const*, 4> texts{
        "alive", "suspect", "leaving", "gone"};
    return texts[static_cast<std::size_t>(status)];
}

nlohmann::json to_json(member_record const& member)
{
    return {
        {"daemon", member.daemon_.value()},
        {"domain", member.domain_.value()},
        {"endpoint", member.endpoint_.text()},
        {"incarnation", member.incarnation_.value()},
        {"status", status_text(member.status_)},
        {"service", member.service_.value()},
        {"slots", member.slots_}};
}

} // namespace

std::string format_status_page(
    member_record const& self,
    revision policy_revision,
    std::vector<member_record> const& members,
    std::size_t unanswered_requests)
{
    nlohmann::json member_list = nlohmann::json::array();
    for (member_record const& member : members)
        member_list.push_back(to_json(member));
    nlohmann::json const page{
        {"self", to_json(self)},
        {"policy", policy_revision.empty() ? "defaults" : "document"},
        {"revision", policy_revision.value()},
        {"unanswered", unanswered_requests},
        {"members", member_list}};
    return page.dump(1) + "\n";
}

} // namespace samphire

#include "config/section_exchange.hpp"

#include "base/hashing.hpp"
#include "policy/policy_codec.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <nlohmann/json.hpp>

namespace samphire
{

section_request request_sections(policy_document const& held)
{
    return {held.revision_, policy_sections(held)};
}

section_reply
reply_sections(policy_document const& held, section_request const& request)
{
    if (held.revision_ <= request.held_)
        return {.revision_ = held.revision_};
    absl::flat_hash_set<std::uint64_t> known;
    for (policy_section const& section : request.sections_)
        known.insert(section.hash_);
    std::vector<policy_section> const sections = policy_sections(held);
    std::vector<payload> changed;
    for (std::size_t i = 0; i < sections.size(); ++i)
    {
        if (!known.contains(sections[i].hash_))
            changed.emplace_back(format_service(held.services_[i]));
    }
    policy_document const base{
        .revision_ = held.revision_,
        .retries_ = held.retries_,
        .leaving_ = held.leaving_};
    return {
        held.revision_,
        payload(format_policy(base)),
        sections,
        std::move(changed)};
}

std::optional<std::string>
join_sections(policy_document const& held, section_reply const& reply)
{
    absl::flat_hash_map<std::uint64_t, std::string> texts;
    for (service_policy const& service : held.services_)
    {
        std::string text = format_service(service);
        texts.emplace(stable_hash(text), std::move(text));
    }
    for (payload const& section : reply.changed_)
        texts.insert_or_assign(stable_hash(section.bytes()), section.bytes());
    auto whole = nlohmann::json::parse(reply.base_.bytes(), nullptr, false);
    if (!whole.is_object())
        return std::nullopt;
    nlohmann::json services = nlohmann::json::array();
    for (policy_section const& section : reply.sections_)
    {
        auto const found = texts.find(section.hash_);
        if (found == texts.end())
            return std::nullopt;
        auto service = nlohmann::json::parse(found->second, nullptr, false);
        if (service.is_discarded())
            return std::nullopt;
        services.push_back(std::move(service));
    }
    whole["services"] = std::move(services);
    return whole.dump();
}

} // namespace samphire

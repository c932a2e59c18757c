#include "config/section_exchange.hpp"

#include "base/hashing.hpp"
#include "document/json_document.hpp"
#include "policy/policy_codec.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <nlohmann/json.hpp>

namespace samphire
{

section_request make_section_request(policy_document const& local_document)
{
    return {local_document.revision_, policy_sections(local_document)};
}

section_reply make_section_reply(
    policy_document const& local_document, section_request const& request)
{
    if (local_document.revision_ <= request.known_revision_)
        return {.revision_ = local_document.revision_};
    absl::flat_hash_set<std::uint64_t> requester_hashes;
    for (policy_section const& section : request.sections_)
        requester_hashes.insert(section.hash_);
    std::vector<policy_section> const sections =
        policy_sections(local_document);
    std::vector<payload> changed_sections;
    for (std::size_t i = 0; i < sections.size(); ++i)
    {
        if (!requester_hashes.contains(sections[i].hash_))
            changed_sections.emplace_back(
                format_service(local_document.services_[i]));
    }
    policy_document const base{
        .revision_ = local_document.revision_,
        .retries_ = local_document.retries_,
        .leaving_ = local_document.leaving_};
    return {
        local_document.revision_,
        payload(format_policy(base)),
        sections,
        std::move(changed_sections)};
}

std::optional<std::string> assemble_document(
    policy_document const& local_document, section_reply const& reply)
{
    absl::flat_hash_map<std::uint64_t, std::string> section_texts;
    for (service_policy const& service : local_document.services_)
    {
        std::string text = format_service(service);
        section_texts.emplace(stable_hash(text), std::move(text));
    }
    for (payload const& section : reply.changed_sections_)
        section_texts.insert_or_assign(
            stable_hash(section.bytes()), section.bytes());
    auto document = try_parse_document(reply.base_document_.bytes());
    if (!document.is_object())
        return std::nullopt;
    nlohmann::json services = nlohmann::json::array();
    for (policy_section const& section : reply.sections_)
    {
        auto const found = section_texts.find(section.hash_);
        if (found == section_texts.end())
            return std::nullopt;
        auto service = try_parse_document(found->second);
        if (service.is_discarded())
            return std::nullopt;
        services.push_back(std::move(service));
    }
    document["services"] = std::move(services);
    return document.dump();
}

} // namespace samphire

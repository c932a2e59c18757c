#include "policy/policy_section.hpp"

#include "base/hashing.hpp"
#include "policy/policy_codec.hpp"

namespace samphire
{

std::vector<policy_section> policy_sections(policy_document const& document)
{
    std::vector<policy_section> sections;
    for (service_policy const& service : document.services_)
        sections.push_back(
            {service.service_, stable_hash(format_service(service))});
    return sections;
}

} // namespace samphire

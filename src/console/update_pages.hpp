#pragma once

#include "http/http_response.hpp"
#include "operations/rollout.hpp"
#include "operations/stored_policy.hpp"
#include "policy/policy_document.hpp"

#include <cstdint>
#include <string_view>

namespace samphire
{

/// Shows a checked document and its difference from the stored one, with the
/// button that applies it. `notice` tells how an earlier attempt ended.
http_response review_page(
    std::uint16_t status,
    policy_document const& document,
    stored_policy const& base,
    std::string_view token,
    std::string_view notice);

/// Shows both documents after another operator's change.
http_response conflict_page(
    policy_document const& document,
    stored_policy const& current,
    std::string_view token);

/// Shows where the revision is in force; zero when none was just applied.
http_response rollout_page(rollout const& found, revision applied);

/// Shows text that a refused request carried, so that it is not lost.
http_response refused_page(
    std::uint16_t status,
    std::string_view title,
    std::string_view reason,
    std::string_view sent);

} // namespace samphire

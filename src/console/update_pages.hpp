#pragma once

#include "http/http_response.hpp"
#include "operations/rollout.hpp"
#include "operations/stored_policy.hpp"
#include "policy/policy_document.hpp"

#include <cstdint>
#include <string_view>

namespace samphire
{

/// Returns the page with a valid document, its differences from the stored
/// document and the button that applies it. `notice` states the outcome of an
/// earlier attempt to apply the document; empty for none.
http_response review_page(
    std::uint16_t status,
    policy_document const& document,
    stored_policy const& base,
    std::string_view token,
    std::string_view notice);

/// Returns the page with the submitted and the stored document, for the case
/// that another operator changed the stored one.
http_response conflict_page(
    policy_document const& document,
    stored_policy const& current,
    std::string_view token);

/// Returns the page with the policy revisions in force in each failure domain.
/// `applied_revision` is the revision that was just applied; zero for none.
http_response
rollout_page(rollout const& observed_rollout, revision applied_revision);

/// Returns the page with the reason for which a request was refused. The page
/// repeats the submitted text, so that the operator does not lose that text.
http_response refused_page(
    std::uint16_t status,
    std::string_view title,
    std::string_view reason,
    std::string_view submitted);

} // namespace samphire

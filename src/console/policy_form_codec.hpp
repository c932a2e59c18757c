#pragma once

#include "console/form_fields.hpp"
#include "console/policy_form.hpp"
#include "policy/policy_codec.hpp"
#include "policy/policy_document.hpp"
#include "policy/policy_error.hpp"

#include <string>

namespace samphire
{

/// Returns the form for editing the document. The edited document replaces
/// version `base_version` of the policy object and has revision
/// `next_revision`.
policy_form make_policy_form(
    policy_document const& document,
    object_version base_version,
    revision next_revision);

/// Reads the form that a browser submitted.
policy_form read_policy_form(form_fields const& fields);

/// Converts the form to a document, with the same checks that samphirectl
/// applies to a file. Errors identify services and routes by name instead
/// of by position.
policy_parse_result parse_policy_form(policy_form const& form);

/// Returns the JSON text of the document in the form, valid or not.
std::string policy_form_text(policy_form const& form);

} // namespace samphire

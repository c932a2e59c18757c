#pragma once

#include "console/form_fields.hpp"
#include "console/policy_form.hpp"
#include "policy/policy_codec.hpp"
#include "policy/policy_document.hpp"
#include "policy/policy_error.hpp"

#include <string>

namespace samphire
{

/// The form of a document that is to replace the object at `base_version`
/// with revision `next`.
policy_form make_policy_form(
    policy_document const& document,
    object_version base_version,
    revision next);

/// The form as a browser sent it.
policy_form read_policy_form(form_fields const& fields);

/// The document that the form states, checked as samphirectl checks a file.
/// Errors name services and routes instead of their positions.
policy_parse_result parse_policy_form(policy_form const& form);

/// JSON of what the form states, valid or not.
std::string policy_form_text(policy_form const& form);

} // namespace samphire

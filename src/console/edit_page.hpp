#pragma once

#include "console/policy_form.hpp"
#include "http/http_response.hpp"
#include "policy/policy_error.hpp"

#include <string_view>
#include <vector>

namespace samphire
{

/// Returns the page with the form for the policy document. `errors` are the
/// rules that the submitted form breaks; empty for a new form. `token` is the
/// token of the browser session.
http_response edit_page(
    policy_form const& form,
    std::string_view token,
    std::vector<policy_error> const& errors);

} // namespace samphire

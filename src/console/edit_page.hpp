#pragma once

#include "console/policy_form.hpp"
#include "http/http_response.hpp"
#include "policy/policy_error.hpp"

#include <string_view>
#include <vector>

namespace samphire
{

/// Returns the page with the form for the policy document. `errors` are those
/// of the submitted form; a new form has none.
http_response edit_page(
    policy_form const& form,
    std::string_view token,
    std::vector<policy_error> const& errors);

} // namespace samphire

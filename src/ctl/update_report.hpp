#pragma once

#include "ctl/command_result.hpp"
#include "operations/policy_update.hpp"
#include "operations/stored_policy.hpp"

namespace samphire
{

/// Reports to the operator how the update of `base` to `document` ended. A
/// conflict shows both documents, so that neither is lost.
command_result report_update(
    policy_document const& document,
    stored_policy const& base,
    policy_update const& update);

} // namespace samphire

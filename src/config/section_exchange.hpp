#pragma once

#include "messages/section_reply.hpp"
#include "messages/section_request.hpp"
#include "policy/policy_document.hpp"

#include <optional>
#include <string>

namespace samphire
{

/// Only sections whose hash differs travel between daemons.
section_request request_sections(policy_document const& held);

/// The answer of a daemon that holds `held`.
section_reply
reply_sections(policy_document const& held, section_request const& request);

/// JSON text of the sender's whole document, from the reply and the sections
/// that are held; nothing when a section is in neither, or the reply has
/// another form. The text still has to pass parse_policy().
std::optional<std::string>
join_sections(policy_document const& held, section_reply const& reply);

} // namespace samphire

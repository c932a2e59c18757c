#pragma once

#include "messages/section_reply.hpp"
#include "messages/section_request.hpp"
#include "policy/policy_document.hpp"

#include <optional>
#include <string>

namespace samphire
{

/// Returns a request to a peer for a newer policy document. The request has the
/// hashes of the sections of `local_document`, so that the peer sends only
/// sections that differ.
section_request make_section_request(policy_document const& local_document);

/// Returns the reply of a daemon whose policy document is `local_document`. The
/// reply has only the revision of `local_document`, unless that revision is
/// higher than the revision in the request.
section_reply make_section_reply(
    policy_document const& local_document, section_request const& request);

/// Returns the JSON text of the sender's whole policy document, assembled from
/// the reply and the sections of `local_document`; none when a section is in
/// neither or the reply is malformed. The text is not checked; the caller has
/// to pass it to parse_policy().
std::optional<std::string> assemble_document(
    policy_document const& local_document, section_reply const& reply);

} // namespace samphire

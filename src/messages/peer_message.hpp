#pragma once

#include "messages/cancel_request.hpp"
#include "messages/crash_suspects.hpp"
#include "messages/execute_reply.hpp"
#include "messages/execute_request.hpp"
#include "messages/indirect_ping.hpp"
#include "messages/member_list_reply.hpp"
#include "messages/member_list_request.hpp"
#include "messages/membership_ack.hpp"
#include "messages/membership_ping.hpp"
#include "messages/record_transfer.hpp"
#include "messages/section_reply.hpp"
#include "messages/section_request.hpp"
#include "messages/ticket_query.hpp"
#include "messages/ticket_reply.hpp"

#include <variant>

namespace samphire
{

/// Any message between two daemons. The index of a message type in the variant
/// is the type number on the wire, so new types are added at the end.
using peer_message = std::variant<
    execute_request,
    execute_reply,
    cancel_request,
    ticket_query,
    ticket_reply,
    record_transfer,
    section_request,
    section_reply,
    crash_suspects,
    membership_ping,
    membership_ack,
    indirect_ping,
    member_list_request,
    member_list_reply>;

} // namespace samphire

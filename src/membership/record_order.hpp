#pragma once

#include "membership/member_key.hpp"
#include "membership/member_record.hpp"

#include <cstdint>
#include <span>

namespace samphire
{

member_key key_of(member_record const& record);

/// Returns true when `left` replaces `right`, in the order of incarnation,
/// sequence and status. The order is total, so daemons that received the same
/// records in any order keep the same record. The ticket epoch is not compared;
/// it only increases within an incarnation and is merged separately.
bool supersedes(member_record const& left, member_record const& right);

/// Returns an order-independent hash over the identity, sequence and status of
/// `records`, which is equal for daemons that know the same records. Ticket
/// epochs are excluded, because every daemon increments its epoch each minute.
std::uint64_t digest_of(std::span<member_record const> records);
std::uint64_t digest_of(member_record const& record);

/// Returns a copy of `record` with the given status.
member_record with_status(member_record const& record, member_status status);
/// Returns a copy of `record` with the later of its ticket epoch and `epoch`.
member_record with_epoch(member_record const& record, ticket_epoch epoch);

} // namespace samphire

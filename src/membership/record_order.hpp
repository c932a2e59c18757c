#pragma once

#include "membership/member_key.hpp"
#include "membership/member_record.hpp"

#include <cstdint>
#include <span>

namespace samphire
{

member_key key_of(member_record const& record);

/// True when `left` replaces `right`: the order of incarnation, sequence and
/// status. It is total, so daemons that saw the same records in any order hold
/// the same one. The epoch does not count; it only rises within an incarnation
/// and is merged by itself.
bool supersedes(member_record const& left, member_record const& right);

/// Hash over the identity, sequence and status of records, in any order; equal
/// for daemons that know the same. Epochs are left out because every daemon
/// raises its own each minute.
std::uint64_t digest_of(std::span<member_record const> records);
std::uint64_t digest_of(member_record const& record);

/// The same record with another status.
member_record with_status(member_record const& record, member_status status);
/// The same record with the later of both epochs.
member_record with_epoch(member_record const& record, ticket_epoch epoch);

} // namespace samphire

#include "membership/record_order.hpp"

#include "base/hashing.hpp"

#include <algorithm>
#include <tuple>

namespace samphire
{

member_key key_of(member_record const& record)
{
    return {record.daemon_, record.incarnation_};
}

bool supersedes(member_record const& left, member_record const& right)
{
    return std::tuple(left.incarnation_, left.sequence_, left.status_) >
           std::tuple(right.incarnation_, right.sequence_, right.status_);
}

std::uint64_t digest_of(member_record const& record)
{
    std::uint64_t const identity_hash =
        stable_hash(record.daemon_.value(), record.incarnation_.value());
    std::uint64_t const sequence_and_status =
        record.sequence_ * 4 + static_cast<std::uint64_t>(record.status_);
    return stable_hash(
        record.domain_.value(),
        identity_hash ^ (sequence_and_status * 0x9e3779b97f4a7c15));
}

std::uint64_t digest_of(std::span<member_record const> records)
{
    std::uint64_t digest = 0;
    for (member_record const& record : records)
        digest ^= digest_of(record);
    return digest;
}

member_record with_status(member_record const& record, member_status status)
{
    return {
        .daemon_ = record.daemon_,
        .domain_ = record.domain_,
        .endpoint_ = record.endpoint_,
        .incarnation_ = record.incarnation_,
        .sequence_ = record.sequence_,
        .status_ = status,
        .service_ = record.service_,
        .slots_ = record.slots_,
        .epoch_ = record.epoch_,
        .successor_ = record.successor_};
}

member_record with_epoch(member_record const& record, ticket_epoch epoch)
{
    return {
        .daemon_ = record.daemon_,
        .domain_ = record.domain_,
        .endpoint_ = record.endpoint_,
        .incarnation_ = record.incarnation_,
        .sequence_ = record.sequence_,
        .status_ = record.status_,
        .service_ = record.service_,
        .slots_ = record.slots_,
        .epoch_ = std::max(record.epoch_, epoch),
        .successor_ = record.successor_};
}

} // namespace samphire

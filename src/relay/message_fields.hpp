#pragma once

#include "forwarding/messages/relay_message.hpp"
#include "relay/bounded_fields.hpp"

#include <cereal/cereal.hpp>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <type_traits>

// Functions that serialize the messages between daemons. The fields stand in
// the order in which they are sent.

namespace samphire
{

template <class Archive, class Tag>
std::string save_minimal(Archive const&, text_id<Tag> const& value)
{
    return value.value();
}

template <class Archive, class Tag>
void load_minimal(Archive const&, text_id<Tag>& value, std::string const& text)
{
    value = text_id<Tag>(text);
}

template <class Archive>
std::uint64_t save_minimal(Archive const&, endpoint const& value)
{
    constexpr unsigned port_bits = 16;
    return (std::uint64_t{value.address()} << port_bits) | value.port();
}

template <class Archive>
void load_minimal(Archive const&, endpoint& value, std::uint64_t const& packed)
{
    constexpr unsigned port_bits = 16;
    value = endpoint(
        static_cast<std::uint32_t>(packed >> port_bits),
        static_cast<std::uint16_t>(packed));
}

template <class Archive>
std::string save_minimal(Archive const&, payload const& value)
{
    return value.bytes();
}

template <class Archive>
void load_minimal(Archive const&, payload& value, std::string const& bytes)
{
    value = payload(bytes);
}

/// Serializes a flag as one byte. Reading another value than 0 or 1 into a bool
/// would be undefined.
template <class Archive>
void serialize_flag(Archive& archive, bool& value)
{
    std::uint8_t byte = value ? 1 : 0;
    archive(byte);
    if (byte > 1)
        throw std::out_of_range("flag");
    value = byte == 1;
}

/// Serializes an enumerator; `last` is the last one of its type.
template <class Archive, class Enum>
void serialize_enumerator(Archive& archive, Enum& value, Enum last)
{
    auto number = static_cast<std::underlying_type_t<Enum>>(value);
    archive(number);
    if (number > static_cast<std::underlying_type_t<Enum>>(last))
        throw std::out_of_range("enumerator");
    value = static_cast<Enum>(number);
}

template <class Archive>
void serialize(Archive& archive, execution_key& value)
{
    archive(value.incarnation_, value.exchange_number_);
}

template <class Archive>
void serialize(Archive& archive, rate_limit& value)
{
    serialize_flag(archive, value.is_known_);
    archive(value.requests_per_ks_);
}

template <class Archive>
void serialize(Archive& archive, load_report& value)
{
    archive(
        value.running_executions_,
        value.queued_executions_,
        value.slots_,
        value.run_time_us_,
        value.failed_permille_,
        value.capacity_per_ks_,
        value.demand_per_ks_,
        value.rate_limit_);
    serialize_flag(archive, value.accepts_work_);
}

template <class Archive>
void serialize(Archive& archive, service_pressure& value)
{
    archive(value.service_, value.pressure_permille_);
}

template <class Archive>
void serialize(Archive& archive, upstream_record& value)
{
    archive(
        value.daemon_,
        value.id_,
        value.start_time_ms_,
        value.service_,
        value.zone_,
        value.slots_);
    serialize_enumerator(archive, value.phase_, upstream_phase::down);
}

template <class Archive>
void serialize(Archive& archive, daemon_hello& value)
{
    archive(
        value.daemon_,
        value.incarnation_,
        value.policy_version_,
        value.upstream_);
    serialize_flag(archive, value.is_stopping_);
}

template <class Archive>
void serialize(Archive& archive, daemon_beacon& value)
{
    serialize_flag(archive, value.is_answer_);
    archive(value.policy_version_, value.load_);
    serialize_flag(archive, value.is_stopping_);
}

/// Serializes a duration in microseconds.
template <class Archive>
void serialize_duration(Archive& archive, absl::Duration& value)
{
    std::int64_t microseconds = absl::ToInt64Microseconds(value);
    archive(microseconds);
    value = absl::Microseconds(microseconds);
}

template <class Archive>
void serialize(Archive& archive, execute_order& value)
{
    archive(
        value.key_,
        value.attempt_,
        value.service_,
        value.route_,
        value.caller_service_);
    serialize_enumerator(archive, value.kind_, request_kind::upload);
    archive(value.priority_);
    serialize_flag(archive, value.is_call_);
    archive(value.urgency_, value.weight_);
    serialize_flag(archive, value.demand_counted_);
    serialize_flag(archive, value.is_retry_);
    archive(
        value.known_rate_limit_,
        value.method_,
        value.target_,
        value.headers_,
        value.body_);
    serialize_flag(archive, value.has_body_);
    archive(value.fingerprint_);
    serialize_duration(archive, value.remaining_time_);
}

template <class Archive>
void serialize(Archive& archive, execute_result& value)
{
    archive(value.key_);
    serialize_enumerator(archive, value.verdict_, execution_verdict::timed_out);
    serialize_enumerator(archive, value.reason_, verdict_reason::retry_limit);
    serialize_flag(archive, value.reached_upstream_);
    archive(
        value.load_,
        value.leaving_upstream_start_ms_,
        value.service_pressures_,
        value.status_,
        value.headers_,
        value.body_);
    serialize_duration(archive, value.retry_after_);
}

template <class Archive>
void serialize(Archive& archive, cancel_order& value)
{
    archive(value.key_);
}

template <class Archive>
void serialize(Archive& archive, execution_query& value)
{
    archive(value.key_);
}

template <class Archive>
void serialize(Archive& archive, policy_request& value)
{
    archive(value.known_version_);
}

template <class Archive>
void serialize(Archive& archive, policy_notice& value)
{
    archive(value.version_, value.document_);
}

template <class Archive>
void serialize(Archive& archive, upstream_notice& value)
{
    archive(value.upstream_);
}

template <class Archive>
void serialize(Archive& archive, store_access_notice& value)
{
    serialize_flag(archive, value.reaches_store_);
}

template <class Archive>
void serialize(Archive& archive, crash_notice& value)
{
    archive(value.fingerprint_, value.crash_id_);
}

} // namespace samphire

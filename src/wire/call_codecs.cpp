#include "wire/codecs.hpp"

#include <stdexcept>

namespace samphire
{

void put(wire_writer& out, call_context const& value)
{
    put(out, value.request_);
    put(out, value.trace_);
    out.write_enumerator(value.importance_);
    out.write_number(value.depth_);
    out.write_number(value.attempts_left_);
    put(out, value.time_to_deadline_);
}

call_context get(wire_reader& in, wire_tag<call_context>)
{
    return {
        get(in, wire_tag<request_id>()),
        get(in, wire_tag<trace_context>()),
        in.read_enumerator(importance::critical),
        in.read_number<std::uint32_t>(),
        in.read_number<std::uint32_t>(),
        get(in, wire_tag<absl::Duration>())};
}

void put(wire_writer& out, execution_ticket const& value)
{
    put(out, value.guard_);
    put(out, value.incarnation_);
    put(out, value.endpoint_);
    put(out, value.epoch_);
    put(out, value.nonce_);
}

execution_ticket get(wire_reader& in, wire_tag<execution_ticket>)
{
    return {
        get(in, wire_tag<daemon_id>()),
        get(in, wire_tag<incarnation>()),
        get(in, wire_tag<endpoint>()),
        get(in, wire_tag<ticket_epoch>()),
        get(in, wire_tag<request_id>())};
}

void put(wire_writer& out, stored_answer const& value)
{
    out.write_number(value.status_);
    put(out, value.body_);
}

stored_answer get(wire_reader& in, wire_tag<stored_answer>)
{
    return {in.read_number<std::uint16_t>(), get(in, wire_tag<payload>())};
}

void put(wire_writer& out, execute_request const& value)
{
    put(out, value.exchange_);
    put(out, value.service_);
    put(out, value.route_);
    put(out, value.body_);
    put(out, value.context_);
    put(out, value.ticket_);
    out.write_number(static_cast<std::uint8_t>(value.ticket_not_sent_before_));
}

execute_request get(wire_reader& in, wire_tag<execute_request>)
{
    return {
        get(in, wire_tag<exchange_id>()),
        get(in, wire_tag<service_name>()),
        get(in, wire_tag<route_name>()),
        get(in, wire_tag<payload>()),
        get(in, wire_tag<call_context>()),
        get(in, wire_tag<std::optional<execution_ticket>>()),
        in.read_number<std::uint8_t>() != 0};
}

void put(wire_writer& out, execute_reply const& value)
{
    put(out, value.exchange_);
    out.write_enumerator(value.outcome_);
    out.write_enumerator(value.reason_);
    out.write_number(value.status_);
    put(out, value.body_);
    out.write_number(value.body_hash_);
    out.write_number(value.attempts_left_);
    put(out, value.admission_level_);
    put(out, value.epoch_);
}

execute_reply get(wire_reader& in, wire_tag<execute_reply>)
{
    return {
        get(in, wire_tag<exchange_id>()),
        in.read_enumerator(call_outcome::unknown),
        in.read_enumerator(outcome_reason::starting),
        in.read_number<std::uint16_t>(),
        get(in, wire_tag<payload>()),
        in.read_number<std::uint64_t>(),
        in.read_number<std::uint32_t>(),
        get(in, wire_tag<admission_level>()),
        get(in, wire_tag<ticket_epoch>())};
}

void put(wire_writer& out, cancel_request const& value)
{
    put(out, value.exchange_);
}

cancel_request get(wire_reader& in, wire_tag<cancel_request>)
{
    return {get(in, wire_tag<exchange_id>())};
}

void put(wire_writer& out, ticket_query const& value)
{
    put(out, value.exchange_);
    put(out, value.ticket_);
    out.write_number(static_cast<std::uint8_t>(value.close_));
}

ticket_query get(wire_reader& in, wire_tag<ticket_query>)
{
    return {
        get(in, wire_tag<exchange_id>()),
        get(in, wire_tag<execution_ticket>()),
        in.read_number<std::uint8_t>() != 0};
}

void put(wire_writer& out, ticket_reply const& value)
{
    put(out, value.exchange_);
    out.write_enumerator(value.state_);
    put(out, value.answer_);
}

ticket_reply get(wire_reader& in, wire_tag<ticket_reply>)
{
    ticket_reply const value{
        get(in, wire_tag<exchange_id>()),
        in.read_enumerator(ticket_state::expired),
        get(in, wire_tag<std::optional<stored_answer>>())};
    if (value.answer_.has_value() != (value.state_ == ticket_state::answered))
        throw std::invalid_argument("answer does not match ticket state");
    return value;
}

void put(wire_writer& out, answered_record const& value)
{
    put(out, value.nonce_);
    out.write_enumerator(value.state_);
    put(out, value.answer_);
}

answered_record get(wire_reader& in, wire_tag<answered_record>)
{
    return {
        get(in, wire_tag<request_id>()),
        in.read_enumerator(ticket_state::expired),
        get(in, wire_tag<std::optional<stored_answer>>())};
}

void put(wire_writer& out, record_transfer const& value)
{
    put(out, value.guard_);
    put(out, value.incarnation_);
    put(out, value.epoch_);
    put(out, value.records_);
    out.write_number(value.total_records_);
    out.write_number(static_cast<std::uint8_t>(value.is_last_part_));
}

record_transfer get(wire_reader& in, wire_tag<record_transfer>)
{
    return {
        get(in, wire_tag<daemon_id>()),
        get(in, wire_tag<incarnation>()),
        get(in, wire_tag<ticket_epoch>()),
        get(in, wire_tag<std::vector<answered_record>>()),
        in.read_number<std::uint64_t>(),
        in.read_number<std::uint8_t>() != 0};
}

} // namespace samphire

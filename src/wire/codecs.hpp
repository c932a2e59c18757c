#pragma once

#include "messages/peer_identity.hpp"
#include "messages/peer_message.hpp"
#include "wire/wire_reader.hpp"
#include "wire/wire_writer.hpp"

#include <absl/time/time.h>

#include <optional>
#include <vector>

namespace samphire
{

// put() writes the fields of a value in the order of their declaration. get()
// reads them back and throws when the bytes are not an encoding of the type.

/// Selects the overload of get() that reads a T.
template <class T>
struct wire_tag
{
};

void put(wire_writer& out, endpoint const& value);
endpoint get(wire_reader& in, wire_tag<endpoint>);
void put(wire_writer& out, payload const& value);
payload get(wire_reader& in, wire_tag<payload>);
void put(wire_writer& out, request_id const& value);
request_id get(wire_reader& in, wire_tag<request_id>);
void put(wire_writer& out, absl::Duration value);
absl::Duration get(wire_reader& in, wire_tag<absl::Duration>);
void put(wire_writer& out, trace_context const& value);
trace_context get(wire_reader& in, wire_tag<trace_context>);
void put(wire_writer& out, call_context const& value);
call_context get(wire_reader& in, wire_tag<call_context>);
void put(wire_writer& out, execution_ticket const& value);
execution_ticket get(wire_reader& in, wire_tag<execution_ticket>);
void put(wire_writer& out, stored_answer const& value);
stored_answer get(wire_reader& in, wire_tag<stored_answer>);
void put(wire_writer& out, execute_request const& value);
execute_request get(wire_reader& in, wire_tag<execute_request>);
void put(wire_writer& out, execute_reply const& value);
execute_reply get(wire_reader& in, wire_tag<execute_reply>);
void put(wire_writer& out, cancel_request const& value);
cancel_request get(wire_reader& in, wire_tag<cancel_request>);
void put(wire_writer& out, ticket_query const& value);
ticket_query get(wire_reader& in, wire_tag<ticket_query>);
void put(wire_writer& out, ticket_reply const& value);
ticket_reply get(wire_reader& in, wire_tag<ticket_reply>);
void put(wire_writer& out, answered_record const& value);
answered_record get(wire_reader& in, wire_tag<answered_record>);
void put(wire_writer& out, record_transfer const& value);
record_transfer get(wire_reader& in, wire_tag<record_transfer>);
void put(wire_writer& out, policy_section const& value);
policy_section get(wire_reader& in, wire_tag<policy_section>);
void put(wire_writer& out, section_request const& value);
section_request get(wire_reader& in, wire_tag<section_request>);
void put(wire_writer& out, section_reply const& value);
section_reply get(wire_reader& in, wire_tag<section_reply>);
void put(wire_writer& out, crash_suspect const& value);
crash_suspect get(wire_reader& in, wire_tag<crash_suspect>);
void put(wire_writer& out, crash_suspects const& value);
crash_suspects get(wire_reader& in, wire_tag<crash_suspects>);
void put(wire_writer& out, member_record const& value);
member_record get(wire_reader& in, wire_tag<member_record>);
void put(wire_writer& out, domain_reachability const& value);
domain_reachability get(wire_reader& in, wire_tag<domain_reachability>);
void put(wire_writer& out, membership_ping const& value);
membership_ping get(wire_reader& in, wire_tag<membership_ping>);
void put(wire_writer& out, membership_ack const& value);
membership_ack get(wire_reader& in, wire_tag<membership_ack>);
void put(wire_writer& out, indirect_ping const& value);
indirect_ping get(wire_reader& in, wire_tag<indirect_ping>);
void put(wire_writer& out, domain_digest const& value);
domain_digest get(wire_reader& in, wire_tag<domain_digest>);
void put(wire_writer& out, member_list_request const& value);
member_list_request get(wire_reader& in, wire_tag<member_list_request>);
void put(wire_writer& out, member_list_reply const& value);
member_list_reply get(wire_reader& in, wire_tag<member_list_reply>);

template <class Tag>
void put(wire_writer& out, text_id<Tag> const& value)
{
    out.write_text(value.value());
}

template <class Tag>
text_id<Tag> get(wire_reader& in, wire_tag<text_id<Tag>>)
{
    return text_id<Tag>(in.read_text());
}

template <class Tag>
void put(wire_writer& out, numeric_id<Tag> const& value)
{
    out.write_number(value.value());
}

template <class Tag>
numeric_id<Tag> get(wire_reader& in, wire_tag<numeric_id<Tag>>)
{
    return numeric_id<Tag>(in.read_number<std::uint64_t>());
}

template <class T>
void put(wire_writer& out, std::optional<T> const& value)
{
    out.write_number(static_cast<std::uint8_t>(value.has_value()));
    if (value)
        put(out, *value);
}

template <class T>
std::optional<T> get(wire_reader& in, wire_tag<std::optional<T>>)
{
    if (in.read_number<std::uint8_t>() == 0)
        return std::nullopt;
    return get(in, wire_tag<T>());
}

template <class T>
void put(wire_writer& out, std::vector<T> const& values)
{
    out.write_count(values.size());
    for (T const& value : values)
        put(out, value);
}

template <class T>
std::vector<T> get(wire_reader& in, wire_tag<std::vector<T>>)
{
    std::size_t const count = in.read_count();
    std::vector<T> values;
    values.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        values.push_back(get(in, wire_tag<T>()));
    return values;
}

} // namespace samphire

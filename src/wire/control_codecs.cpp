#include "wire/codecs.hpp"

namespace samphire
{

void put(wire_writer& out, policy_section const& value)
{
    put(out, value.service_);
    out.write_number(value.hash_);
}

policy_section get(wire_reader& in, wire_tag<policy_section>)
{
    return {get(in, wire_tag<service_name>()), in.read_number<std::uint64_t>()};
}

void put(wire_writer& out, section_request const& value)
{
    put(out, value.known_revision_);
    put(out, value.sections_);
}

section_request get(wire_reader& in, wire_tag<section_request>)
{
    return {
        get(in, wire_tag<revision>()),
        get(in, wire_tag<std::vector<policy_section>>())};
}

void put(wire_writer& out, section_reply const& value)
{
    put(out, value.revision_);
    put(out, value.base_document_);
    put(out, value.sections_);
    put(out, value.changed_sections_);
}

section_reply get(wire_reader& in, wire_tag<section_reply>)
{
    return {
        get(in, wire_tag<revision>()),
        get(in, wire_tag<payload>()),
        get(in, wire_tag<std::vector<policy_section>>()),
        get(in, wire_tag<std::vector<payload>>())};
}

void put(wire_writer& out, crash_suspect const& value)
{
    put(out, value.fingerprint_);
    out.write_number(value.crashes_);
    out.write_number(static_cast<std::uint8_t>(value.ran_alone_));
}

crash_suspect get(wire_reader& in, wire_tag<crash_suspect>)
{
    return {
        get(in, wire_tag<fingerprint>()),
        in.read_number<std::uint32_t>(),
        in.read_number<std::uint8_t>() != 0};
}

void put(wire_writer& out, crash_suspects const& value)
{
    put(out, value.suspects_);
}

crash_suspects get(wire_reader& in, wire_tag<crash_suspects>)
{
    return {get(in, wire_tag<std::vector<crash_suspect>>())};
}

void put(wire_writer& out, member_record const& value)
{
    put(out, value.daemon_);
    put(out, value.domain_);
    put(out, value.endpoint_);
    put(out, value.incarnation_);
    out.write_number(value.sequence_);
    out.write_enumerator(value.status_);
    put(out, value.service_);
    out.write_number(value.slots_);
    put(out, value.epoch_);
    put(out, value.successor_);
}

member_record get(wire_reader& in, wire_tag<member_record>)
{
    return {
        get(in, wire_tag<daemon_id>()),
        get(in, wire_tag<domain_name>()),
        get(in, wire_tag<endpoint>()),
        get(in, wire_tag<incarnation>()),
        in.read_number<std::uint64_t>(),
        in.read_enumerator(member_status::gone),
        get(in, wire_tag<service_name>()),
        in.read_number<std::uint32_t>(),
        get(in, wire_tag<ticket_epoch>()),
        get(in, wire_tag<endpoint>())};
}

void put(wire_writer& out, domain_reachability const& value)
{
    put(out, value.domain_);
    out.write_number(value.sequence_);
    out.write_number(static_cast<std::uint8_t>(value.reachable_));
}

domain_reachability get(wire_reader& in, wire_tag<domain_reachability>)
{
    return {
        get(in, wire_tag<domain_name>()),
        in.read_number<std::uint64_t>(),
        in.read_number<std::uint8_t>() != 0};
}

void put(wire_writer& out, membership_ping const& value)
{
    out.write_number(value.sequence_);
    put(out, value.revision_);
    put(out, value.updates_);
    put(out, value.reachability_);
}

membership_ping get(wire_reader& in, wire_tag<membership_ping>)
{
    return {
        in.read_number<std::uint64_t>(),
        get(in, wire_tag<revision>()),
        get(in, wire_tag<std::vector<member_record>>()),
        get(in, wire_tag<std::vector<domain_reachability>>())};
}

void put(wire_writer& out, membership_ack const& value)
{
    out.write_number(value.sequence_);
    put(out, value.revision_);
    put(out, value.updates_);
    put(out, value.reachability_);
}

membership_ack get(wire_reader& in, wire_tag<membership_ack>)
{
    return {
        in.read_number<std::uint64_t>(),
        get(in, wire_tag<revision>()),
        get(in, wire_tag<std::vector<member_record>>()),
        get(in, wire_tag<std::vector<domain_reachability>>())};
}

void put(wire_writer& out, indirect_ping const& value)
{
    out.write_number(value.sequence_);
    put(out, value.target_);
}

indirect_ping get(wire_reader& in, wire_tag<indirect_ping>)
{
    return {in.read_number<std::uint64_t>(), get(in, wire_tag<endpoint>())};
}

void put(wire_writer& out, domain_digest const& value)
{
    put(out, value.domain_);
    out.write_number(value.digest_);
}

domain_digest get(wire_reader& in, wire_tag<domain_digest>)
{
    return {get(in, wire_tag<domain_name>()), in.read_number<std::uint64_t>()};
}

void put(wire_writer& out, member_list_request const& value)
{
    put(out, value.known_digests_);
}

member_list_request get(wire_reader& in, wire_tag<member_list_request>)
{
    return {get(in, wire_tag<std::vector<domain_digest>>())};
}

void put(wire_writer& out, member_list_reply const& value)
{
    put(out, value.members_);
}

member_list_reply get(wire_reader& in, wire_tag<member_list_reply>)
{
    return {get(in, wire_tag<std::vector<member_record>>())};
}

} // namespace samphire

#include "wire/codecs.hpp"

namespace samphire
{

void put(wire_writer& out, endpoint const& value)
{
    out.write_number(value.address());
    out.write_number(value.port());
}

endpoint get(wire_reader& in, wire_tag<endpoint>)
{
    auto const address = in.read_number<std::uint32_t>();
    return endpoint(address, in.read_number<std::uint16_t>());
}

void put(wire_writer& out, payload const& value)
{
    out.write_text(value.bytes());
}

payload get(wire_reader& in, wire_tag<payload>)
{
    return payload(in.read_text());
}

void put(wire_writer& out, request_id const& value)
{
    out.write_number(value.high_);
    out.write_number(value.low_);
}

request_id get(wire_reader& in, wire_tag<request_id>)
{
    return {in.read_number<std::uint64_t>(), in.read_number<std::uint64_t>()};
}

void put(wire_writer& out, absl::Duration value)
{
    out.write_number(std::int64_t{absl::ToInt64Nanoseconds(value)});
}

absl::Duration get(wire_reader& in, wire_tag<absl::Duration>)
{
    return absl::Nanoseconds(in.read_number<std::int64_t>());
}

void put(wire_writer& out, trace_context const& value)
{
    out.write_number(value.trace_high_);
    out.write_number(value.trace_low_);
    out.write_number(value.span_);
}

trace_context get(wire_reader& in, wire_tag<trace_context>)
{
    return {
        in.read_number<std::uint64_t>(),
        in.read_number<std::uint64_t>(),
        in.read_number<std::uint64_t>()};
}

} // namespace samphire

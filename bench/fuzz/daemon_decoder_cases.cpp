#include "daemon/announcement_parser.hpp"
#include "execution/binding_shard.hpp"
#include "fuzz/decoder_cases.hpp"
#include "membership/summary_codec.hpp"
#include "operations/daemon_report_parser.hpp"
#include "policy/policy_codec.hpp"
#include "settings/settings_parser.hpp"
#include "wire/codecs.hpp"
#include "wire/value_codec.hpp"

#include <array>
#include <exception>
#include <stdexcept>
#include <variant>

namespace samphire::bench
{

namespace
{

bool decode_peer_message(std::string const& input)
{
    try
    {
        wire_reader reader(input);
        get_peer_message(reader);
        return true;
    }
    // message_codec converts each of them to one error.
    catch (std::exception const&)
    {
        return false;
    }
}

bool parse_flag(std::string const& input)
{
    static constexpr std::array definitions{
        setting_definition{
            .name_ = "port",
            .kind_ = setting_kind::integer,
            .default_ = "1",
            .minimum_ = 0,
            .maximum_ = 100,
            .help_ = "a number"},
        setting_definition{
            .name_ = "peer",
            .kind_ = setting_kind::address,
            .default_ = "127.0.0.1:1",
            .help_ = "an address"}};
    settings_parser const parser("fuzz", "fuzzed flags", definitions);
    std::string const flag = "--" + input;
    std::array<char const*, 2> const arguments{"fuzz", flag.c_str()};
    auto const result = parser.parse(
        static_cast<int>(arguments.size()),
        arguments.data(),
        [](char const*) -> char const* { return nullptr; });
    return std::get_if<setting_values>(&result) != nullptr;
}

} // namespace

std::vector<decoder_case> daemon_decoder_cases()
{
    return {
        {"announcement",
         {},
         [](std::string const& input)
         {
             return bool(parse_announcement(input));
         }},
        {"operator_policy",
         {},
         [](std::string const& input)
         {
             return bool(parse_policy(input));
         }},
        {"summary",
         {},
         [](std::string const& input)
         {
             return bool(parse_summary(domain_name("d"), input));
         }},
        {"binding_shard",
         {},
         [](std::string const& input)
         {
             return binding_shard::parse(payload(input)).has_value();
         }},
        {"daemon_report",
         {},
         [](std::string const& input)
         {
             return parse_daemon_report(endpoint(1, 1), input).reached_;
         }},
        {"peer_message",
         {std::string(1, '\0') + std::string(64, '\1'),
          std::string("\x01\x00\x00\x00\x01", 5) + "a"},
         decode_peer_message},
        {"flag", {"port=5", "peer=127.0.0.1:7000"}, parse_flag}};
}

} // namespace samphire::bench

#include "relay/answer_parser.hpp"

#include "http/header_syntax.hpp"
#include "http/response_status.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>

#include <algorithm>
#include <cstdint>

namespace samphire
{

namespace
{

namespace http = boost::beast::http;

constexpr std::size_t max_head_bytes = 64u << 10;
constexpr std::uint64_t max_body_bytes = 64u << 20;

/// Returns whether the parser has removed every transfer coding of the body. It
/// knows "chunked" and ignores all others, of which "identity" changes nothing.
bool is_transfer_coding_known(answer_parser::message_type const& head)
{
    auto const codings = head.equal_range(http::field::transfer_encoding);
    return std::all_of(
        codings.first,
        codings.second,
        [](auto const& coding)
        {
            return boost::beast::iequals(coding.value(), "chunked") ||
                   boost::beast::iequals(coding.value(), "identity");
        });
}

} // namespace

answer_parser::answer_parser(bool answers_head_request)
{
    // Stops after the head: the parser reserves the announced length of a body
    // even if that is over its limit.
    parser_.eager(false);
    parser_.header_limit(max_head_bytes);
    parser_.body_limit(max_body_bytes);
    parser_.skip(answers_head_request);
}

std::optional<std::size_t> answer_parser::parse(std::string_view received)
{
    bool const is_in_head = !parser_.is_header_done();
    boost::system::error_code error;
    std::size_t const parsed_bytes = parser_.put(
        boost::asio::buffer(received.data(), received.size()), error);
    if (error && error != http::error::need_more)
        return std::nullopt;
    if (is_in_head)
    {
        // The parser would join a folded line with the field before it.
        if (has_folded_line(received.substr(0, parsed_bytes)))
            return std::nullopt;
        head_bytes_ += parsed_bytes;
    }
    if (parser_.is_header_done() && !parser_.eager())
    {
        if (!is_head_valid())
            return std::nullopt;
        parser_.eager(true);
    }
    // The parser itself limits neither a head that it takes in pieces nor the
    // lines between chunks.
    unparsed_bytes_ = parsed_bytes == 0 ? received.size() : 0;
    if (head_bytes_ > max_head_bytes || unparsed_bytes_ > max_head_bytes)
        return std::nullopt;
    return parsed_bytes;
}

void answer_parser::end()
{
    boost::system::error_code error;
    parser_.put_eof(error);
}

std::size_t answer_parser::memory_bytes() const
{
    std::size_t const head_bytes = head_bytes_ + unparsed_bytes_;
    if (!parser_.is_header_done())
        return head_bytes;
    // The parser reserves the announced length at once, and without one more
    // than has arrived.
    return head_bytes + std::max<std::size_t>(
                            parser_.get().body().capacity(),
                            parser_.content_length().value_or(0));
}

bool answer_parser::is_head_valid() const
{
    return is_valid_response_status(parser_.get().result_int()) &&
           is_transfer_coding_known(parser_.get()) &&
           parser_.content_length().value_or(0) <= max_body_bytes;
}

} // namespace samphire

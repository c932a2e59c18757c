#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace samphire
{

/// Parses one message of an upstream with Boost.Beast, which reads more than
/// HTTP allows and does not limit every part of a message; this class does.
class answer_parser
{
public:
    using message_type =
        boost::beast::http::response<boost::beast::http::string_body>;

    explicit answer_parser(bool answers_head_request);

    /// Parses received bytes and returns how many were taken; 0 when more are
    /// needed. Returns nothing when the bytes are not part of an answer.
    std::optional<std::size_t> parse(std::string_view received);

    /// Ends an answer without a length.
    void end();

    bool is_done() const
    {
        return parser_.is_done();
    }

    /// Whether the head is complete and the body ends with the connection.
    bool has_no_length() const
    {
        return parser_.is_header_done() && parser_.need_eof();
    }

    bool keep_alive() const
    {
        return parser_.keep_alive();
    }

    /// Memory of the message and of received bytes that wait for more.
    std::size_t memory_bytes() const;

    message_type const& message() const
    {
        return parser_.get();
    }

    message_type release()
    {
        return parser_.release();
    }

private:
    bool is_head_valid() const;

    boost::beast::http::response_parser<boost::beast::http::string_body>
        parser_;
    std::size_t head_bytes_{};
    /// Received bytes that cannot be parsed yet.
    std::size_t unparsed_bytes_{};
};

} // namespace samphire

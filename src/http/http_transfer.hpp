#pragma once

#include "http/http_client_error.hpp"
#include "http/http_response.hpp"
#include "http/outgoing_request.hpp"
#include "http/request_token.hpp"
#include "http/response_memory.hpp"

#include <curl/curl.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace samphire
{

/// One request in progress on a libcurl easy handle.
class http_transfer
{
public:
    /// Creates an easy handle and sets the options that are the same for all
    /// requests. Setting them once saves a reset for each request.
    static CURL* make_handle();

    /// `handle` comes from make_handle() and may have served other transfers.
    http_transfer(
        request_token token,
        outgoing_request request,
        CURL* handle,
        response_memory& memory);
    http_transfer(http_transfer const&) = delete;
    http_transfer& operator=(http_transfer const&) = delete;
    ~http_transfer();

    request_token token() const
    {
        return token_;
    }

    CURL* handle() const
    {
        return handle_;
    }

    /// Whether the head of the final response has arrived completely. libcurl
    /// reports success when the connection ends within the head.
    bool is_head_complete() const
    {
        return head_complete_;
    }

    /// Whether the end of the connection can be the end of the body: a server
    /// that ends a body without a length before it has taken the whole request
    /// may have died. libcurl stops sending then and reports success.
    bool is_body_complete() const;

    /// Frees the response; the transfer fails when libcurl next calls back or
    /// reports its end.
    void give_up();

    bool is_given_up() const
    {
        return given_up_;
    }

    /// Moves the response out of the transfer after libcurl reported success.
    http_response response();

    /// Converts an error code of libcurl to an http_client_error.
    http_client_error error(CURLcode code) const;

private:
    /// Counts what has been received towards the memory of all responses.
    /// Returns false when this response has been given up.
    bool claim_memory();

    /// Records what the field says about the framing of the body. Returns false
    /// when the length is not a number, or the framing is stated in two ways:
    /// libcurl would choose one.
    bool read_framing(http_header const& header);

    /// Status of the last response head that libcurl has read.
    std::uint16_t status() const;

    /// An answer over these limits ends the transfer with an error. A return
    /// value of 0 of the callbacks below has that effect.
    static constexpr std::size_t max_head_bytes = 64u << 10;
    static constexpr std::size_t max_body_bytes = 8u << 20;

    /// Aborts the second attempt to send a request. libcurl itself retries a
    /// request when a reused connection turns out to be closed, but the server
    /// may already have received the request on that connection.
    static int
    on_send(void* self, char* remote, char* local, int remote_port, int port);
    static std::size_t
    on_body(char* data, std::size_t size, std::size_t count, void* self);
    static std::size_t
    on_header(char* data, std::size_t size, std::size_t count, void* self);

    request_token const token_;
    outgoing_request const request_;
    CURL* const handle_;
    response_memory& memory_;
    curl_slist* header_lines_{};
    std::vector<http_header> headers_;
    std::string body_;
    /// Bytes of the heads of all responses to the request.
    std::size_t head_bytes_{};
    bool request_sent_{};
    bool given_up_{};
    bool head_complete_{};
    /// Framing that the head states for the body.
    std::string content_length_;
    bool has_transfer_encoding_{};
};

} // namespace samphire

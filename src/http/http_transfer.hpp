#pragma once

#include "http/http_client_error.hpp"
#include "http/http_response.hpp"
#include "http/outgoing_request.hpp"
#include "http/request_token.hpp"

#include <curl/curl.h>

#include <memory>
#include <string>
#include <vector>

namespace samphire
{

/// One request in progress on a libcurl easy handle.
class http_transfer
{
public:
    /// An easy handle with the options that no request changes. Setting them
    /// once saves a reset for each request.
    static CURL* make_handle();

    /// `handle` comes from make_handle() and may have served other transfers.
    http_transfer(request_token token, outgoing_request request, CURL* handle);
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

    /// The answer after libcurl reported success.
    http_response response();

    /// Converts libcurl's result.
    http_client_error error(CURLcode code) const;

private:
    /// libcurl repeats a request by itself when a kept connection turns out to
    /// be closed. The first connection may have delivered it, so the second
    /// sending is refused.
    static int
    on_send(void* self, char* remote, char* local, int remote_port, int port);
    static std::size_t
    on_body(char* data, std::size_t size, std::size_t count, void* self);
    static std::size_t
    on_header(char* data, std::size_t size, std::size_t count, void* self);

    request_token const token_;
    outgoing_request const request_;
    CURL* const handle_;
    curl_slist* header_lines_{};
    std::vector<http_header> headers_;
    std::string body_;
    bool sent_{};
};

} // namespace samphire

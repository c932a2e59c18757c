#include "http/http_transfer.hpp"

#include "base/text.hpp"
#include "http/header_syntax.hpp"
#include "http/response_status.hpp"
#include "http/silence_detection.hpp"

#include <utility>

namespace samphire
{

namespace
{

int configure_socket(void*, curl_socket_t descriptor, curlsocktype)
{
    silence_detection::enable(descriptor);
    return CURL_SOCKOPT_OK;
}

} // namespace

CURL* http_transfer::make_handle()
{
    CURL* const handle = curl_easy_init();
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle, CURLOPT_IPRESOLVE, CURL_IPRESOLVE_V4);
    curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, &configure_socket);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &http_transfer::on_send);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &http_transfer::on_body);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &http_transfer::on_header);
    return handle;
}

http_transfer::http_transfer(
    request_token token,
    outgoing_request request,
    CURL* handle,
    response_memory& memory)
    : token_(token), request_(std::move(request)), handle_(handle),
      memory_(memory)
{
    std::string const url =
        "http://" + request_.destination_.text() + request_.path_;
    std::string const& body = request_.body_.bytes();
    curl_easy_setopt(handle_, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle_, CURLOPT_PRIVATE, this);
    curl_easy_setopt(handle_, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(
        handle_,
        CURLOPT_TIMEOUT_MS,
        static_cast<long>(absl::ToInt64Milliseconds(request_.timeout_) + 1));
    curl_easy_setopt(
        handle_, CURLOPT_FRESH_CONNECT, request_.fresh_connection_ ? 1L : 0L);
    curl_easy_setopt(
        handle_,
        CURLOPT_FORBID_REUSE,
        request_.close_after_response_ ? 1L : 0L);
    curl_easy_setopt(handle_, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(handle_, CURLOPT_HEADERDATA, this);
    if (request_.method_ == "GET")
    {
        curl_easy_setopt(handle_, CURLOPT_CUSTOMREQUEST, nullptr);
        curl_easy_setopt(handle_, CURLOPT_HTTPGET, 1L);
    }
    else
    {
        curl_easy_setopt(handle_, CURLOPT_POST, 1L);
        curl_easy_setopt(handle_, CURLOPT_POSTFIELDS, body.data());
        curl_easy_setopt(
            handle_,
            CURLOPT_POSTFIELDSIZE_LARGE,
            static_cast<curl_off_t>(body.size()));
        curl_easy_setopt(
            handle_, CURLOPT_CUSTOMREQUEST, request_.method_.c_str());
    }
    for (http_header const& header : request_.headers_)
    {
        std::string const line = header.name_ + ": " + header.value_;
        header_lines_ = curl_slist_append(header_lines_, line.c_str());
    }
    // An empty Expect header keeps libcurl from waiting for "100 Continue"
    // before sending a large body.
    header_lines_ = curl_slist_append(header_lines_, "Expect:");
    curl_easy_setopt(handle_, CURLOPT_HTTPHEADER, header_lines_);
}

http_transfer::~http_transfer()
{
    memory_.remove(*this);
    curl_slist_free_all(header_lines_);
}

void http_transfer::give_up()
{
    given_up_ = true;
    body_ = std::string();
    headers_.clear();
}

bool http_transfer::claim_memory()
{
    if (!given_up_)
        memory_.update(*this, head_bytes_ + body_.size());
    return !given_up_;
}

bool http_transfer::is_body_complete() const
{
    constexpr std::uint16_t no_content = 204;
    constexpr std::uint16_t not_modified = 304;
    curl_off_t sent_bytes = 0;
    curl_easy_getinfo(handle_, CURLINFO_SIZE_UPLOAD_T, &sent_bytes);
    return !content_length_.empty() || has_transfer_encoding_ ||
           status() == no_content || status() == not_modified ||
           static_cast<std::size_t>(sent_bytes) >= request_.body_.size();
}

http_response http_transfer::response()
{
    return {
        .status_ = status(),
        .headers_ = headers_,
        .body_ = payload(std::move(body_))};
}

bool http_transfer::read_framing(http_header const& header)
{
    if (equals_ignore_case(header.name_, "Transfer-Encoding"))
    {
        bool const is_first = !std::exchange(has_transfer_encoding_, true);
        return is_first && content_length_.empty();
    }
    if (!equals_ignore_case(header.name_, "Content-Length"))
        return true;
    bool const is_number =
        header.value_.find_first_not_of("0123456789") == std::string::npos &&
        parse_number<std::uint64_t>(header.value_).has_value();
    bool const agrees =
        content_length_.empty() || content_length_ == header.value_;
    content_length_ = header.value_;
    return is_number && agrees && !has_transfer_encoding_;
}

std::uint16_t http_transfer::status() const
{
    long status = 0;
    curl_easy_getinfo(handle_, CURLINFO_RESPONSE_CODE, &status);
    return static_cast<std::uint16_t>(status);
}

http_client_error http_transfer::error(CURLcode code) const
{
    if (!request_sent_)
        return http_client_error::refused;
    switch (code)
    {
    case CURLE_OPERATION_TIMEDOUT:
        return http_client_error::timeout;
    case CURLE_PARTIAL_FILE:
        return http_client_error::truncated;
    default:
        return http_client_error::connection_lost;
    }
}

int http_transfer::on_send(void* self, char*, char*, int, int)
{
    auto& transfer = *static_cast<http_transfer*>(self);
    if (transfer.request_sent_)
        return CURL_PREREQFUNC_ABORT;
    transfer.request_sent_ = true;
    return CURL_PREREQFUNC_OK;
}

std::size_t http_transfer::on_body(
    char* data, std::size_t size, std::size_t count, void* self)
{
    auto& transfer = *static_cast<http_transfer*>(self);
    if (transfer.given_up_ ||
        transfer.body_.size() + size * count > max_body_bytes)
        return 0;
    transfer.body_.append(data, size * count);
    return transfer.claim_memory() ? size * count : 0;
}

std::size_t http_transfer::on_header(
    char* data, std::size_t size, std::size_t count, void* self)
{
    auto& transfer = *static_cast<http_transfer*>(self);
    std::string_view const line(data, size * count);
    transfer.head_bytes_ += line.size();
    if (transfer.head_bytes_ > max_head_bytes || !transfer.claim_memory())
        return 0;
    // An interim response has a head of its own.
    if (line.starts_with("HTTP/"))
    {
        transfer.head_complete_ = false;
        transfer.content_length_.clear();
        transfer.has_transfer_encoding_ = false;
        transfer.headers_.clear();
        return size * count;
    }
    if (line == "\r\n")
    {
        if (!is_valid_response_status(transfer.status()))
            return 0;
        transfer.head_complete_ = true;
        return size * count;
    }
    if (!is_valid_header_line(line))
        return 0;
    auto const colon = line.find(':');
    http_header header{
        std::string(line.substr(0, colon)),
        std::string(trim(line.substr(colon + 1)))};
    if (!transfer.read_framing(header))
        return 0;
    auto const& echoed = transfer.request_.echoed_header_;
    if (echoed && equals_ignore_case(echoed->name_, header.name_) &&
        echoed->value_ != header.value_)
        return 0;
    transfer.headers_.push_back(std::move(header));
    return size * count;
}

} // namespace samphire

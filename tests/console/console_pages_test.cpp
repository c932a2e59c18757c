#include "console/console_pages.hpp"
#include "ctl/scripted_platform.hpp"
#include "ctl/validate_command.hpp"

#include <CppUTest/TestHarness.h>
#include <absl/strings/str_replace.h>
#include <curl/curl.h>

#include <map>

using namespace samphire;

namespace
{

struct fake_survey
{
    std::vector<daemon_report> collect_reports()
    {
        return {
            {endpoint(1, 1),
             true,
             daemon_id("d-1"),
             domain_name("tas-a"),
             revision(2)},
            {endpoint(1, 2),
             true,
             daemon_id("d-2"),
             domain_name("<b>"),
             revision(1)},
            {.address_ = endpoint(0x7f000001, 9)}};
    }
};

std::string encode_url_text(std::string const& text)
{
    char* const encoded =
        curl_easy_escape(nullptr, text.c_str(), static_cast<int>(text.size()));
    std::string result(encoded);
    curl_free(encoded);
    return result;
}

/// Returns the text between the first `left` and the `right` that follows;
/// empty when the text does not contain `left`.
std::string text_between(
    std::string const& text, std::string const& left, char const* right)
{
    auto const start = text.find(left);
    if (start == std::string::npos)
        return {};
    auto const from = start + left.size();
    return text.substr(from, text.find(right, from) - from);
}

std::string unescape_html(std::string const& text)
{
    return absl::StrReplaceAll(
        text, {{"&quot;", "\""}, {"&amp;", "&"}, {"&lt;", "<"}, {"&gt;", ">"}});
}

} // namespace

TEST_GROUP(console_pages)
{
    using fields = std::map<std::string, std::string>;

    fake::scripted_platform platform;
    policy_store<fake::scripted_platform> store{platform};
    fake_survey survey;
    console_pages<fake::scripted_platform, fake_survey> pages{store, survey};
    header_list const local_headers{{"Host", "127.0.0.1:7400"}};

    void setup()
    {
        platform.store().put(
            object_name("policy"),
            payload(format_policy(
                parse_policy(
                    R"({"format":1,"revision":1,"services":[{"service":"slots",
                       "routes":[{"route":"list"}]}]})")
                    .value())));
    }

    /// Session cookie and form fields in one operator's browser.
    struct browser
    {
        std::string cookie_;
        std::string token_;
        std::string version_;
    };

    browser open_start_page()
    {
        http_response const page = pages.handle(
            {.method_ = "GET", .path_ = "/", .headers_ = local_headers});
        std::string const& html = page.body_.bytes();
        return {
            find_header(page.headers_, "Set-Cookie").value_or(""),
            text_between(html, "name=\"token\" value=\"", "\""),
            text_between(html, "name=\"base_version\" value=\"", "\"")};
    }

    http_response post(browser const& from, char const* path, fields body)
    {
        body.emplace("token", from.token_);
        std::string text;
        for (auto const& [name, value] : body)
            text += encode_url_text(name) + "=" + encode_url_text(value) + "&";
        header_list headers = local_headers;
        headers.push_back({"Cookie", "other=1; " + from.cookie_});
        return pages.handle(
            {.method_ = "POST",
             .path_ = path,
             .headers_ = headers,
             .body_ = payload(text)});
    }

    static fields filled_form(browser const& from, char const* importance)
    {
        return {
            {"base_version", from.version_},
            {"revision", "2"},
            {"extra_attempts", "3"},
            {"service_percent", "10"},
            {"listed_service", "slots"},
            {"route.0.service", "slots"},
            {"route.0.route", "list"},
            {"route.0.importance", importance},
            {"route.0.unrepeatable", "true"},
            {"route.0.work", "short"},
            {"route.0.timeout_ms", "10000"},
            {"route.1.service", ""},
            {"route.1.route", ""},
            {"leaving", "d-1\r\nd-2"},
            {"complete", "yes"}};
    }

    static std::string document_in_page(http_response const& page)
    {
        return unescape_html(text_between(
            page.body_.bytes(), "name=\"document\" value=\"", "\""));
    }

    http_response review_and_apply(browser const& from, char const* importance)
    {
        http_response const review =
            post(from, "/review", filled_form(from, importance));
        return post(
            from,
            "/apply",
            {{"base_version", from.version_},
             {"document", document_in_page(review)}});
    }

    std::string stored_text()
    {
        return store.read().value().text_;
    }
};

// Guards against a change that takes effect before the operator has seen it.
TEST(console_pages, review_shows_difference_and_stores_nothing)
{
    std::string const document_before = stored_text();
    browser const operator_a = open_start_page();
    http_response const page =
        post(operator_a, "/review", filled_form(operator_a, "high"));
    LONGS_EQUAL(200, page.status_);
    STRCMP_CONTAINS(
        "services[slots].routes[list].importance</th><td>normal</td><td>high",
        page.body_.bytes().c_str());
    STRCMP_EQUAL(document_before.c_str(), stored_text().c_str());
}

// Guards against a console whose documents samphirectl would refuse or change.
TEST(console_pages, applied_document_equals_what_samphirectl_validates)
{
    http_response const answer = review_and_apply(open_start_page(), "high");
    LONGS_EQUAL(303, answer.status_);
    command_result const checked = validate_document(stored_text());
    CHECK(checked.code_ == exit_code::done);
    STRCMP_EQUAL(stored_text().c_str(), checked.output_.c_str());
    LONGS_EQUAL(2, store.read().value().document_.leaving_.size());
}

// Guards against the loss of a document when two operators apply at once: the
// first document stays stored, and the conflict page shows both documents.
TEST(console_pages, concurrent_applies_by_two_operators_keep_both_documents)
{
    browser const operator_a = open_start_page();
    browser const operator_b = open_start_page();
    http_response const review =
        post(operator_b, "/review", filled_form(operator_b, "critical"));
    LONGS_EQUAL(303, review_and_apply(operator_a, "high").status_);
    std::string const first_document = stored_text();
    std::string const second_document = document_in_page(review);
    http_response const answer = post(
        operator_b,
        "/apply",
        {{"base_version", operator_b.version_}, {"document", second_document}});
    LONGS_EQUAL(409, answer.status_);
    STRCMP_EQUAL(first_document.c_str(), stored_text().c_str());
    std::string const html = unescape_html(answer.body_.bytes());
    STRCMP_CONTAINS(first_document.c_str(), html.c_str());
    STRCMP_CONTAINS(second_document.c_str(), html.c_str());
    // The second operator edits their own document on top of the stored one.
    browser const operator_b_rebased{
        operator_b.cookie_,
        operator_b.token_,
        text_between(
            answer.body_.bytes(), "name=\"base_version\" value=\"", "\"")};
    fields const submission{
        {"base_version", operator_b_rebased.version_},
        {"document", document_in_page(answer)}};
    http_response const edit = post(operator_b_rebased, "/edit", submission);
    STRCMP_CONTAINS("critical\" selected", edit.body_.bytes().c_str());
    STRCMP_CONTAINS("revision\" value=\"3\"", edit.body_.bytes().c_str());
}

// Guards against the loss of a change that another operator makes between the
// console's read and its write.
TEST(console_pages, change_between_read_and_write_is_a_conflict)
{
    browser const operator_a = open_start_page();
    std::string const other = absl::StrReplaceAll(
        stored_text(), {{"\"revision\": 1", "\"revision\": 2"}});
    // Interrupts the fourth platform call, the write: the first three are the
    // reads for the start page, the review and the apply request.
    platform.interrupt_before(
        4,
        [&] { platform.store().put(object_name("policy"), payload(other)); });
    LONGS_EQUAL(409, review_and_apply(operator_a, "high").status_);
    STRCMP_EQUAL(other.c_str(), stored_text().c_str());
}

// Guards against a conflict reported for a document that is applied twice.
TEST(console_pages, repeated_apply_recognises_own_document)
{
    browser const operator_a = open_start_page();
    fields const apply{
        {"base_version", operator_a.version_},
        {"document",
         document_in_page(
             post(operator_a, "/review", filled_form(operator_a, "high")))}};
    LONGS_EQUAL(303, post(operator_a, "/apply", apply).status_);
    LONGS_EQUAL(303, post(operator_a, "/apply", apply).status_);
}

// Guards against forms sent by a page of another site.
TEST(console_pages, form_without_token_of_its_session_is_refused)
{
    browser const operator_a = open_start_page();
    browser const other = open_start_page();
    for (browser const& forged :
         {browser{operator_a.cookie_, "", operator_a.version_},
          browser{operator_a.cookie_, other.token_, operator_a.version_},
          browser{"", operator_a.token_, operator_a.version_},
          browser{"samphire-session=0", "0", operator_a.version_}})
        LONGS_EQUAL(
            403, post(forged, "/review", filled_form(forged, "high")).status_);
    CHECK(operator_a.token_ != other.token_);
    LONGS_EQUAL(32, operator_a.token_.size());
}

// Guards against DNS rebinding by a foreign name that resolves to this machine.
TEST(console_pages, foreign_host_name_is_refused)
{
    for (char const* const host : {"evil.example:7400", "", "127.0.0.1.x:1"})
        LONGS_EQUAL(
            403,
            pages
                .handle(
                    {.method_ = "GET",
                     .path_ = "/",
                     .headers_ = {{"Host", host}}})
                .status_);
}

// Guards against submitted values that are interpreted as HTML, and against a
// refused form that loses what the operator typed.
TEST(console_pages, refused_values_are_shown_again_escaped)
{
    browser const operator_a = open_start_page();
    fields submitted = filled_form(operator_a, "\"><script>");
    submitted["leaving"] = "</textarea><script>";
    submitted["extra_attempts"] = "many";
    http_response const page = post(operator_a, "/review", submitted);
    std::string const& html = page.body_.bytes();
    LONGS_EQUAL(400, page.status_);
    CHECK(html.find("<script") == std::string::npos);
    STRCMP_CONTAINS("services[slots].routes[list].importance", html.c_str());
    STRCMP_CONTAINS("value=\"many\"", html.c_str());
    STRCMP_CONTAINS("selected>choose", html.c_str());
    STRCMP_CONTAINS("&lt;/textarea&gt;&lt;script&gt;", html.c_str());
}

// Guards against a truncated form that removes routes or makes them repeatable.
TEST(console_pages, incomplete_form_is_refused)
{
    browser const operator_a = open_start_page();
    fields submitted = filled_form(operator_a, "high");
    submitted.erase("complete");
    LONGS_EQUAL(400, post(operator_a, "/review", submitted).status_);
    submitted = filled_form(operator_a, "high");
    submitted.erase("route.0.unrepeatable");
    LONGS_EQUAL(400, post(operator_a, "/review", submitted).status_);
}

// Guards against the loss of a submitted form in an outage of the platform.
TEST(
    console_pages,
    form_during_platform_outage_is_shown_again_and_changes_nothing)
{
    browser const operator_a = open_start_page();
    platform.store().set_unavailable(true);
    http_response const page =
        post(operator_a, "/review", filled_form(operator_a, "critical"));
    LONGS_EQUAL(503, page.status_);
    STRCMP_CONTAINS("critical", page.body_.bytes().c_str());
}

// Guards against a daemon that could not be reached but is counted as updated.
TEST(
    console_pages,
    status_page_counts_updated_daemons_and_lists_unreachable_addresses)
{
    http_response const page = pages.handle(
        {.method_ = "GET",
         .path_ = "/status",
         .query_arguments_ = {{"revision", "2"}},
         .headers_ = local_headers});
    std::string const& html = page.body_.bytes();
    STRCMP_CONTAINS("in force at 1 of 2 daemons", html.c_str());
    STRCMP_CONTAINS("<li>127.0.0.1:9</li>", html.c_str());
    STRCMP_CONTAINS("&lt;b&gt;", html.c_str());
}

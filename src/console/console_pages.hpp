#pragma once

#include "base/text.hpp"
#include "console/edit_page.hpp"
#include "console/form_fields.hpp"
#include "console/policy_form_codec.hpp"
#include "console/request_checks.hpp"
#include "console/session_table.hpp"
#include "console/status_survey.hpp"
#include "console/update_pages.hpp"
#include "http/http_request.hpp"
#include "operations/policy_store.hpp"

#include <fmt/format.h>

#include <string>
#include <utility>

namespace samphire
{

/// Answers the requests of operators' browsers, one at a time.
template <platform_caller Platform, status_survey Survey>
class console_pages
{
public:
    console_pages(policy_store<Platform>& store, Survey& survey)
        : store_(store), survey_(survey)
    {
    }

    http_response handle(http_request const& request)
    {
        if (!has_trusted_host(request))
            return refused_page(
                403,
                "Refused",
                "Host: must be a numeric address or localhost",
                "");
        if (request.method_ == "GET" && request.path_ == "/")
            return start_page(request);
        if (request.method_ == "GET" && request.path_ == "/status")
            return status_page(request);
        if (request.method_ == "POST")
            return handle_form(request);
        return refused_page(404, "No such page", "There is no such page.", "");
    }

private:
    using session = session_table::session;

    http_response start_page(http_request const& request)
    {
        policy_read_result const base = store_.read();
        if (!base)
            return unavailable_page(base.error(), "");
        auto const existing = sessions_.find(session_cookie(request));
        session const browser_session =
            existing ? *existing : sessions_.start();
        http_response const page = new_form_page(
            base.value().document_, base.value(), browser_session);
        header_list headers = page.headers_;
        headers.push_back(
            {"Set-Cookie",
             "samphire-session=" + browser_session.id_ +
                 "; HttpOnly; SameSite=Strict; Path=/"});
        return {page.status_, std::move(headers), page.body_};
    }

    http_response status_page(http_request const& request)
    {
        std::string const revision_text =
            find_header(request.query_arguments_, "revision").value_or("");
        return rollout_page(
            summarize_reports(survey_.collect_reports()),
            revision(parse_number<std::uint64_t>(revision_text).value_or(0)));
    }

    http_response handle_form(http_request const& request)
    {
        form_fields const fields(request.body_.bytes());
        auto const existing = sessions_.find(session_cookie(request));
        if (!existing ||
            !is_same_secret(existing->token_, fields.value("token")))
            return refused_page(
                403,
                "Refused",
                "The session is not known, so nothing was changed. Open the "
                "policy page again.",
                submitted_document_text(fields));
        if (request.path_ == "/review")
            return review(fields, *existing);
        if (request.path_ == "/edit")
            return edit(fields, *existing);
        if (request.path_ == "/apply")
            return apply(fields, *existing);
        return refused_page(404, "No such page", "There is no such page.", "");
    }

    http_response
    review(form_fields const& fields, session const& browser_session)
    {
        policy_form const form = read_policy_form(fields);
        if (!fields.contains("complete"))
            return refused_page(
                400,
                "Refused",
                "The form arrived incomplete, so nothing was changed.",
                submitted_document_text(fields));
        policy_parse_result const parsed = parse_policy_form(form);
        if (!parsed)
            return edit_page(form, browser_session.token_, parsed.error());
        policy_read_result const base = store_.read();
        if (!base)
            return unavailable_page(
                base.error(), submitted_document_text(fields));
        if (base.value().version_ != form.base_version_)
            return conflict_page(
                parsed.value(), base.value(), browser_session.token_);
        return review_page(
            200, parsed.value(), base.value(), browser_session.token_, "");
    }

    http_response
    edit(form_fields const& fields, session const& browser_session)
    {
        policy_parse_result const parsed =
            parse_policy(fields.value("document"));
        if (!parsed)
            return invalid_page(fields);
        policy_read_result const base = store_.read();
        if (!base)
            return unavailable_page(
                base.error(), submitted_document_text(fields));
        if (!is_based_on(fields, base.value()))
            return conflict_page(
                parsed.value(), base.value(), browser_session.token_);
        return new_form_page(parsed.value(), base.value(), browser_session);
    }

    http_response
    apply(form_fields const& fields, session const& browser_session)
    {
        policy_parse_result const parsed =
            parse_policy(fields.value("document"));
        if (!parsed)
            return invalid_page(fields);
        policy_document const& document = parsed.value();
        policy_read_result const base = store_.read();
        if (!base)
            return unavailable_page(
                base.error(), submitted_document_text(fields));
        // The document is stored already when an operator applies it again
        // after a lost response.
        if (base.value().text_ == format_policy(document))
            return redirect_to_status(document);
        if (!is_based_on(fields, base.value()))
            return conflict_page(
                document, base.value(), browser_session.token_);
        policy_update const update = store_.apply(document, base.value());
        switch (update.status_)
        {
        case update_status::applied:
            return redirect_to_status(document);
        case update_status::conflict:
            return conflict_page(
                document, update.current_policy_, browser_session.token_);
        case update_status::not_higher:
            return review_page(
                409,
                document,
                base.value(),
                browser_session.token_,
                "The revision must be higher than the one in force. Nothing "
                "was changed.");
        case update_status::unavailable:
            return review_page(
                503,
                document,
                base.value(),
                browser_session.token_,
                "The platform refused the update. Nothing was changed.");
        case update_status::unknown:
            break;
        }
        return review_page(
            504,
            document,
            base.value(),
            browser_session.token_,
            "Responses of the platform were lost, so the document may be "
            "stored or not. Applying it again is safe.");
    }

    /// Returns whether the form was made from the version of the policy object
    /// that is stored now.
    static bool
    is_based_on(form_fields const& fields, stored_policy const& stored)
    {
        return fields.value("base_version") ==
               fmt::format("{}", stored.version_.value());
    }

    static http_response new_form_page(
        policy_document const& document,
        stored_policy const& base,
        session const& browser_session)
    {
        return edit_page(
            make_policy_form(
                document, base.version_, base.document_.revision_.next()),
            browser_session.token_,
            {});
    }

    static http_response redirect_to_status(policy_document const& document)
    {
        return {
            .status_ = 303,
            .headers_ = {
                {"Location",
                 fmt::format(
                     "/status?revision={}", document.revision_.value())}}};
    }

    static http_response
    unavailable_page(policy_store_error error, std::string const& submitted)
    {
        return refused_page(
            503,
            "Not possible at present",
            fmt::format("Nothing was changed: {}.", store_error_text(error)),
            submitted);
    }

    static http_response invalid_page(form_fields const& fields)
    {
        return refused_page(
            400,
            "Refused",
            "The document is not valid, so nothing was changed.",
            submitted_document_text(fields));
    }

    /// Returns the text of the submitted document, valid or not; empty if the
    /// form has no document.
    static std::string submitted_document_text(form_fields const& fields)
    {
        if (fields.contains("document"))
            return fields.value("document");
        if (!fields.contains("base_version"))
            return {};
        return policy_form_text(read_policy_form(fields));
    }

    policy_store<Platform>& store_;
    Survey& survey_;
    session_table sessions_;
};

} // namespace samphire

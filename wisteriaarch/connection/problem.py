"""Bodies of error answers (RFC 9457 problem details)."""

from ..errors import ANSWERS, ErrorKind, Ran, RequestError
from ..wire import HttpRequest

PROBLEM_HEADERS = [("Content-Type", "application/problem+json")]


def problem_content(exc: RequestError) -> dict:
    """Return the body of an error answer (RFC 9457 problem details)."""
    answer = ANSWERS[exc.kind]
    content = {
        "type": "about:blank",
        "title": answer.title,
        "status": answer.status,
        "detail": exc.detail,
        "kind": exc.kind.value,
        "ran": exc.ran.value,
    }
    for name in ("field", "value", "expected"):
        if getattr(exc, name) is not None:
            content[name] = getattr(exc, name)
    retry_after_s = exc.retry_after_s
    if retry_after_s is None and exc.ran is not Ran.UNKNOWN:
        retry_after_s = answer.retry_after_s
    if retry_after_s is not None:
        content["retry_after_s"] = retry_after_s
    return content


def unknown_path(req: HttpRequest) -> RequestError:
    """Return the error for a path that does not exist."""
    return RequestError(
        ErrorKind.UNKNOWN_PATH,
        "there is no such path",
        field="path",
        value=req.path,
        expected="a path of docs/HTTP.md",
    )

"""Messages about the prompt parts that were being served when endpoints crashed."""

from leadford.protocol._base import MessageBase


class LostRunReport(MessageBase):
    """Report a run that ended because its endpoint closed the connection.

    `proven` are the parts that were in a complete answer at the sender shortly before;
    `is_under_way` tells whether the answer had been arriving for a while.

    Units: age_ms in milliseconds at the time of the report.
    """

    case_id: int
    digest: str
    endpoint_id: str
    parts: list[str]
    proven: list[str] = []
    is_under_way: bool = False
    age_ms: float = 0.0


class PartsAnsweredReport(MessageBase):
    """Report a complete answer to a prompt with these parts.

    Units: age_ms in milliseconds since the answer began.
    """

    parts: list[str]
    age_ms: float


class PromptNews(MessageBase, tag=64):
    """Report runs that ended with their endpoints, and answers that clear parts."""

    lost: list[LostRunReport] = []
    answered: list[PartsAnsweredReport] = []

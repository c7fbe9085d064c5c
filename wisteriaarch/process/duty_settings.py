"""Settings of the calls that one entry at a time makes to the cloud's address."""

from typing import Annotated

from pydantic import BeforeValidator, ConfigDict, Field

from ..wire import Address
from .settings_models import AddressSettings, StrictModel

USAGE_DUTY = "usage"
AUTOSCALE_DUTY = "autoscale"


def parse_address_text(value: object) -> object:
    """Return the fields of an address written as ``IP:PORT``; raises WireError."""
    if not isinstance(value, str):
        return value
    address = Address.parse(value)
    return {"host": address.host, "port": address.port}


AddressText = Annotated[AddressSettings, BeforeValidator(parse_address_text)]


class DutySettings(StrictModel):
    """Duties of a deployment and the bounds that their calls must keep.

    ``calls_per_s`` is the address's limit for all entries together; each entry keeps
    its own calls below it. With ``require_fence`` the address refuses a lower token
    than one it has seen. ``window_s`` is the length of a usage window, ``usage_late_s``
    the time after its end in which a report must be accepted. ``tolerance`` is the
    accepted relative error of a report's counts; no decision uses it.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    address: AddressText
    names: tuple[str, ...] = ()
    calls_per_s: float = Field(default=10.0, gt=0)
    require_fence: bool = True
    window_s: float = Field(default=5.0, gt=0)
    tolerance: float = Field(default=0.05, ge=0)
    usage_late_s: float = Field(default=10.0, gt=0)

    def has(self, name: str) -> bool:
        """Whether the deployment has a duty of this name."""
        return name in self.names

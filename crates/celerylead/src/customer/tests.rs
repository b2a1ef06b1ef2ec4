mod bucket;
mod division;
mod fleet;
mod restarts;

mod bucket;
mod division;
mod fleet;
